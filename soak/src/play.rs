//! One play: a site, its callers, the faults that a seed decides, and the verdict.

use crate::{
    Error,
    caller::{self, Shared},
    check::{self, Evidence, Violation},
    history::{History, Outcome, Record},
    inject::Injector,
    plan::{self, Size, Step},
    sabotage::{Rogue, Sabotage},
    site::Site,
    watch,
};
use derive_more::Display;
use smol::{Task, Timer};
use std::{
    collections::HashSet,
    iter,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Time of usual work before the first fault.
const WARM_UP: Duration = Duration::from_millis(1_000);

/// Time from the last fault's end until service has to be back. Half of what the platform allows.
const HEALING: Duration = Duration::from_secs(6);

/// Time of usual work after that.
const CALM: Duration = Duration::from_secs(4);

/// Time from the last caller's end until nothing may run any more: a lease at its longest, and
/// the slowest executor clock.
const REST: Duration = Duration::from_millis(1_500);

/// What came of a play.
#[derive(Debug, Display)]
#[display(
    "seed {seed}: {} jobs, {completed} completed, {refused} refused, {given_up} given up, {broke} broke off; \
     {} steps, {} broken",
    jobs, steps.len(), violations.len()
)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// Jobs that were handed in.
    pub jobs: usize,
    /// Attempts that were answered as completed.
    pub completed: usize,
    /// Attempts that were refused.
    pub refused: usize,
    /// Attempts that were given up, or failed.
    pub given_up: usize,
    /// Attempts whose connections ended without an answer.
    pub broke: usize,
    /// The faults.
    pub steps: Vec<Step>,
    /// The promises that were not kept.
    pub violations: Vec<Violation>,
    /// Where the logs are, if any was not kept.
    pub logs: Option<PathBuf>,
}

/// Plays a seed with the program of an entry.
///
/// # Errors
///
/// When the site can't be started or a process can't be controlled.
pub async fn play(
    program: &Path,
    seed: u64,
    size: &Size,
    sabotage: Option<Sabotage>,
) -> Result<Verdict, Error> {
    let site = Arc::new(Site::start(program, size).await?);
    let verdict = play_at(&site, seed, size, sabotage).await;
    site.end().await?;
    let verdict = verdict?;
    if verdict.violations.is_empty() {
        site.clear()?;
    }
    Ok(verdict)
}

async fn play_at(
    site: &Arc<Site>,
    seed: u64,
    size: &Size,
    sabotage: Option<Sabotage>,
) -> Result<Verdict, Error> {
    let steps = sabotage.map_or_else(|| plan::plan(seed, size), Sabotage::steps);
    let history = Arc::new(History::default());
    let version = AtomicU64::new(1);
    let injector = Arc::new(Injector { site: site.clone(), history: history.clone(), version });
    let mut entries: Vec<_> = site.nodes.iter().map(|node| node.callers.address).collect();
    let rogue = match sabotage {
        Some(sabotage) => Some(Rogue::start(sabotage, site).await?),
        None => None,
    };
    if let Some(rogue) = &rogue {
        entries[0] = rogue.address;
    }
    let stop = AtomicBool::new(false);
    let shared = Arc::new(Shared { entries, history: history.clone(), stop });
    let callers = call(&shared, seed, size);
    let watching = watch(&injector, &shared);
    Timer::after(WARM_UP).await;
    inject(&injector, &steps).await?;
    let healed = Instant::now() + HEALING;
    Timer::at(healed + CALM).await;
    shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    Timer::after(REST).await;
    drop(watching);
    let record = history.record();
    let mut read = site.read().await?;
    if let Some(rogue) = &rogue {
        read[0].extend(rogue.read());
    }
    let violations = judge(site, &record, healed, &read);
    let logs = (!violations.is_empty()).then(|| site.folder().to_owned());
    Ok(verdict(seed, &record, steps, violations, logs))
}

/// Lets all callers begin.
fn call(shared: &Arc<Shared>, seed: u64, size: &Size) -> Vec<Task<()>> {
    let numbers = 1..=size.callers as u64;
    numbers.map(|number| smol::spawn(caller::run(shared.clone(), seed, number))).collect()
}

/// Begins to watch, until the tasks are dropped.
fn watch(injector: &Arc<Injector>, shared: &Shared) -> Vec<Task<()>> {
    let runs = watch::runs(injector.site.clone(), injector.history.clone());
    let entries = shared.entries.iter().enumerate();
    let configuration = entries.map(|(entry, address)| {
        smol::spawn(watch::configuration(injector.clone(), entry, *address))
    });
    iter::once(smol::spawn(runs)).chain(configuration).collect()
}

/// Carries all steps out, each at its moment, and waits until all are over.
async fn inject(injector: &Arc<Injector>, steps: &[Step]) -> Result<(), Error> {
    let begun = Instant::now();
    let injections: Vec<_> = steps
        .iter()
        .map(|step| {
            let (injector, step) = (injector.clone(), *step);
            smol::spawn(async move {
                Timer::at(begun + step.at).await;
                injector.inject(step).await
            })
        })
        .collect();
    for injection in injections {
        injection.await?;
    }
    Ok(())
}

fn judge(
    site: &Site,
    record: &Record,
    healed: Instant,
    read: &[HashSet<String>],
) -> Vec<Violation> {
    let workers = site.workers.iter();
    let executors: Vec<_> = workers.clone().map(|worker| worker.executor.name.clone()).collect();
    let left_over: Vec<_> =
        workers.flat_map(|worker| worker.executor.running()).map(|run| run.to_string()).collect();
    check::check(&Evidence {
        record,
        monitor: &site.monitor,
        begun: site.begun,
        healed,
        executors: &executors,
        read,
        left_over: &left_over,
    })
}

fn verdict(
    seed: u64,
    record: &Record,
    steps: Vec<Step>,
    violations: Vec<Violation>,
    logs: Option<PathBuf>,
) -> Verdict {
    let ends = || {
        let attempts = record.jobs.values().flat_map(|job| &job.attempts);
        attempts.filter_map(|attempt| attempt.end.map(|(_, how)| how))
    };
    let count = |matches: fn(&Outcome) -> bool| ends().filter(matches).count();
    Verdict {
        seed,
        jobs: record.jobs.len(),
        completed: count(|how| *how == Outcome::Completed),
        refused: count(|how| *how == Outcome::Refused),
        given_up: count(|how| matches!(how, Outcome::GivenUp | Outcome::Failed)),
        broke: count(|how| matches!(how, Outcome::Broken | Outcome::TimedOut)),
        steps,
        violations,
        logs,
    }
}
