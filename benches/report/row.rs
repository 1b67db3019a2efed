//! The table row with the results of a case.

use crate::{
    case::Case,
    report::{
        ideal::{one_fair_queue, one_queue},
        tally::Tally,
    },
    workload::load::{capacity, jobs},
    world::World,
};
use site::unit::Span;
use std::{fmt, thread};

/// Number of cases that run concurrently.
const MAX_CONCURRENT_CASES: usize = 6;

/// Header of a table of [`Row`]s.
pub(crate) const HEAD: &str = "\
| site | load | fault | policy | p50, p99, p99.9 ms | to one queue | to one fair queue | wasted \
messages a task | starts refused | goodput | jobs refused, failed, cancelled of all | notes |
|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Runs cases concurrently and returns their rows in the order of the cases.
pub(crate) fn measure(cases: &[Case]) -> Vec<Row> {
    let run = |some: &[Case]| -> Vec<Row> {
        thread::scope(|scope| {
            let runs: Vec<_> = some.iter().map(|case| scope.spawn(|| run(case))).collect();
            runs.into_iter().map(|run| run.join().expect("the case ran")).collect()
        })
    };
    cases.chunks(MAX_CONCURRENT_CASES).flat_map(run).collect()
}

fn run(case: &Case) -> Row {
    let jobs = jobs(case);
    let mut world = World::new(case, &jobs);
    world.run(case.end());
    let tally = world.tally;
    let part = |best: Vec<Span>| tally.responses.keys().map(|job| best[*job]).collect();
    let real = quantiles(tally.responses.values().copied().collect());
    let ideal = quantiles(part(one_queue(case, &jobs)));
    let fair = quantiles(part(one_fair_queue(case, &jobs)));
    let slots = f64::from(capacity(case.model.place));
    Row {
        case: case.clone(),
        real,
        to_one_queue: std::array::from_fn(|i| real[i] / ideal[i]),
        to_fair_queue: std::array::from_fn(|i| real[i] / fair[i]),
        goodput: tally.useful() as f64 / (slots * case.length.0 as f64),
        jobs: jobs.len() as u64,
        tally,
    }
}

/// The results of a case.
#[derive(Debug)]
pub(crate) struct Row {
    pub(crate) case: Case,
    /// Response times of completed jobs at p50, p99, p99.9, in microseconds.
    pub(crate) real: [f64; 3],
    /// Ratios of `real` to the response times of the same jobs in one queue.
    pub(crate) to_one_queue: [f64; 3],
    /// Ratios of `real` to the response times of the same jobs in one fair queue.
    pub(crate) to_fair_queue: [f64; 3],
    /// Slot time within the run that went to completed jobs, as a fraction of all slot time.
    pub(crate) goodput: f64,
    pub(crate) jobs: u64,
    pub(crate) tally: Tally,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Row { case, real, to_one_queue, to_fair_queue, tally, .. } = self;
        let policy = format!("{:?}", case.policy).to_lowercase();
        let [p50, p99, p999] = real.map(|time| time / 1e3);
        let ratios = |[a, b, c]: [f64; 3]| format!("{a:.2}, {b:.2}, {c:.2}");
        let unanswered = self.jobs - tally.answered();
        write!(
            f,
            "| {} | {}% | {} | {} | {p50:.0}, {p99:.0}, {p999:.0} | {} | {} | {:.4} | {} | {:.1}% \
             | {}, {}, {} of {} | {} |",
            case.site_label(),
            case.load,
            case.fault_label(),
            policy,
            ratios(*to_one_queue),
            ratios(*to_fair_queue),
            tally.wasted(),
            tally.refused_starts,
            100.0 * self.goodput,
            tally.refused_jobs,
            tally.failed_jobs + unanswered,
            tally.cancelled_jobs,
            self.jobs,
            tally.notes(case),
        )
    }
}

fn quantiles(mut spans: Vec<Span>) -> [f64; 3] {
    spans.sort_unstable();
    let last = spans.len().saturating_sub(1) as f64;
    [0.5, 0.99, 0.999]
        .map(|q| spans.get((last * q) as usize).map_or(f64::NAN, |span| span.0 as f64))
}
