//! Statistics of a simulation's answers, weighted by what they are worth to callers.

use crate::simulation::{Arrival, Outcome, Record, Traffic};
use serde::Serialize;
use site::unit::Span;
use std::{cmp::Reverse, collections::BTreeMap};

/// Worth of a late answer relative to one in time.
const LATE_ANSWER_WORTH: f64 = 0.2;

/// Part of a job's worth that does not depend on its work.
const BASE_WORTH: f64 = 0.3;

/// Largest worth of a job relative to the mean of its kind.
const MAX_JOB_WORTH: f64 = 4.0;

/// Length of the windows among which the worst are selected.
const WINDOW_LENGTH: Span = Span::from_secs(2);

/// Number of worst windows that are averaged.
const WORST_WINDOW_COUNT: usize = 2;

/// Weights of the whole simulation, the worst windows, the worst kind and the worst data centre in
/// [`Tally::benefit`].
const WEIGHTS: [f64; 4] = [0.56, 0.12, 0.12, 0.20];

/// Statistics of a group of jobs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Number of jobs.
    pub jobs: usize,
    /// Number of jobs completed in time.
    pub in_time: usize,
    /// Number of jobs completed late, however late.
    pub late: usize,
    /// Number of jobs refused.
    pub refused: usize,
    /// Number of jobs refused while executors had room for the whole job.
    pub had_room: usize,
    /// Number of jobs begun and given up.
    pub given_up: usize,
    /// Number of jobs that failed or got no answer.
    pub failed: usize,
    /// Worth of all jobs.
    pub owed: f64,
    /// Worth of the jobs completed in time, plus a part of those completed late.
    pub earned: f64,
}

/// Statistics of a simulation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// All jobs.
    pub all: Group,
    /// Groups by index of the kind.
    pub kinds: BTreeMap<usize, Group>,
    /// Groups by index of the data centre.
    pub zones: BTreeMap<usize, Group>,
    /// The tenth of each kind with the most work, by index of the kind.
    pub largest: BTreeMap<usize, Group>,
    /// Groups by width: jobs of at most two tasks, of up to ten, and of more.
    pub widths: BTreeMap<usize, Group>,
    /// Groups by index of the data centre in the windows with the most refused jobs.
    pub peak_zones: BTreeMap<usize, Group>,
    /// Groups by number of the window in which jobs were submitted.
    pub windows: BTreeMap<u64, Group>,
    /// Work of all started tasks, relative to the executors' cores over the time of the arrivals.
    pub used: f64,
    /// Median and 95th percentile of the time until a refusal, in milliseconds.
    pub refusal_ms: (f64, f64),
    /// What entries did with tasks and sent to each other.
    pub traffic: Traffic,
    /// Median and maximum of the time for which an executor was without a keeper, in milliseconds,
    /// after its keeper was killed or frozen; 0 if none was.
    pub unkept_ms: (f64, f64),
    /// How often an entry was fenced.
    pub fences: usize,
    /// Groups of the jobs that arrive during a burst, by index of the kind.
    pub bursts: BTreeMap<usize, Group>,
    /// Number of retries after refusals, per job.
    pub retries: f64,
    /// Jobs submitted in each second, retries included.
    pub submissions: Vec<u64>,
}

impl Group {
    fn add(&mut self, record: &Record, worth: f64) {
        self.jobs += 1;
        self.owed += worth;
        match record.outcome {
            Outcome::InTime => {
                self.in_time += 1;
                self.earned += worth;
            }
            Outcome::Late => {
                self.late += 1;
                self.earned += worth * LATE_ANSWER_WORTH;
            }
            Outcome::TooLate => self.late += 1,
            Outcome::Refused => {
                self.refused += 1;
                self.had_room += usize::from(record.had_room);
            }
            Outcome::GivenUp => self.given_up += 1,
            Outcome::Failed | Outcome::Open => self.failed += 1,
        }
    }

    /// Returns the part of the worth that was earned; 1 for an empty group.
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }

    /// Returns the part of the jobs that were refused.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.jobs.max(1) as f64
    }

    /// Returns the number of admitted jobs that failed, were given up or were late.
    pub fn unserved(&self) -> usize {
        self.failed + self.given_up + self.late
    }

    /// Returns their part of the admitted jobs.
    pub fn unserved_share(&self) -> f64 {
        self.unserved() as f64 / (self.unserved() + self.in_time).max(1) as f64
    }

    /// Returns the part of the completed jobs that were late.
    pub fn late_share(&self) -> f64 {
        self.late as f64 / (self.late + self.in_time).max(1) as f64
    }
}

impl Tally {
    /// Computes the statistics of a simulation.
    pub fn new(arrivals: &[Arrival], records: &[Record]) -> Self {
        let mut tally = Tally::default();
        let works = works(arrivals);
        let peak = peak_windows(arrivals, records);
        let mut refusals: Vec<f64> = Vec::new();
        for record in records {
            let arrival = &arrivals[record.arrival];
            let of_kind = &works[&arrival.kind];
            let work = arrival.work() as f64 / of_kind.mean.max(1.0);
            // The worths of each kind are divided by its count, so that no kind dominates by its
            // rate.
            let job = (BASE_WORTH + (1.0 - BASE_WORTH) * work).min(MAX_JOB_WORTH);
            let worth = job / of_kind.count as f64;
            let window = window(arrival);
            tally.all.add(record, worth);
            tally.kinds.entry(arrival.kind).or_default().add(record, worth);
            tally.zones.entry(arrival.data_centre).or_default().add(record, worth);
            tally.widths.entry(width_class(arrival.job.tasks)).or_default().add(record, worth);
            tally.windows.entry(window).or_default().add(record, worth);
            if peak.contains(&window) {
                tally.peak_zones.entry(arrival.data_centre).or_default().add(record, worth);
            }
            if arrival.in_burst {
                tally.bursts.entry(arrival.kind).or_default().add(record, worth);
            }
            if arrival.work() >= of_kind.large {
                tally.largest.entry(arrival.kind).or_default().add(record, worth);
            }
            if record.outcome == Outcome::Refused {
                refusals.push(record.after.0 as f64 / 1_000.0);
            }
        }
        let retries: u32 = records.iter().map(|record| record.retries).sum();
        tally.retries = f64::from(retries) / records.len().max(1) as f64;
        refusals.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let index = (refusals.len() as f64 * part) as usize;
            refusals.get(index).copied().unwrap_or_default()
        };
        tally.refusal_ms = (at(0.5), at(0.95));
        tally
    }

    /// Returns one figure for the simulation: a weighted mean of the parts of the worth that were
    /// earned over the whole time, in the worst windows, of the worst kind and in the worst data
    /// centre.
    pub fn benefit(&self) -> f64 {
        let parts =
            [self.all.share(), self.worst_windows(), self.worst_kind(), self.worst_data_centre()];
        parts.iter().zip(WEIGHTS).map(|(part, weight)| part * weight).sum()
    }

    /// Returns the mean share of the worst windows.
    pub fn worst_windows(&self) -> f64 {
        let mut shares: Vec<_> = self.windows.values().map(Group::share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = shares.iter().take(WORST_WINDOW_COUNT);
        worst.sum::<f64>() / shares.len().clamp(1, WORST_WINDOW_COUNT) as f64
    }

    /// Returns the share of the worst kind.
    pub fn worst_kind(&self) -> f64 {
        worst(&self.kinds)
    }

    /// Returns the share of the worst data centre.
    pub fn worst_data_centre(&self) -> f64 {
        worst(&self.zones)
    }
}

fn window(arrival: &Arrival) -> u64 {
    arrival.at.0 / WINDOW_LENGTH.0
}

/// Returns the windows with the most refused jobs.
fn peak_windows(arrivals: &[Arrival], records: &[Record]) -> Vec<u64> {
    let mut refused: BTreeMap<u64, usize> = BTreeMap::new();
    for record in records.iter().filter(|record| record.outcome == Outcome::Refused) {
        *refused.entry(window(&arrivals[record.arrival])).or_default() += 1;
    }
    let mut windows: Vec<_> = refused.into_iter().collect();
    windows.sort_by_key(|(_, refused)| Reverse(*refused));
    windows.into_iter().map(|(window, _)| window).take(WORST_WINDOW_COUNT).collect()
}

fn width_class(tasks: u16) -> usize {
    match tasks {
        0..=2 => 0,
        3..=10 => 1,
        _ => 2,
    }
}

fn worst(groups: &BTreeMap<usize, Group>) -> f64 {
    groups.values().map(Group::share).min_by(f64::total_cmp).unwrap_or(1.0)
}

/// Distribution of work over the jobs of a kind.
struct KindWork {
    count: usize,
    mean: f64,
    /// A tenth of the jobs have at least this much work.
    large: u64,
}

fn works(arrivals: &[Arrival]) -> BTreeMap<usize, KindWork> {
    let mut kinds: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for arrival in arrivals {
        kinds.entry(arrival.kind).or_default().push(arrival.work());
    }
    let works = |mut all: Vec<u64>| {
        all.sort_unstable();
        let count = all.len();
        let sum: u64 = all.iter().sum();
        KindWork { count, mean: sum as f64 / count as f64, large: all[count * 9 / 10] }
    };
    kinds.into_iter().map(|(kind, all)| (kind, works(all))).collect()
}
