//! Carries out one play: starts a site and its callers, injects the faults of a seed, and checks
//! the guarantees.

use crate::{
    Error,
    caller::{self, Load, Shared},
    check::{self, Evidence, Violation},
    history::{History, Outcome, Record},
    inject::Injector,
    plan::{self, Size, Step},
    sabotage::{FaultyServer, Sabotage},
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

/// Time without faults before the first one.
const WARM_UP: Duration = Duration::from_millis(1_000);

/// Time from the end of the last fault until jobs have to be completed again. Half of what the
/// platform allows.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Time after recovery during which jobs are still submitted.
const POST_RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time from the end of the last caller until no task may run: the longest lease, by the slowest
/// executor clock.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// One caller in this many submits jobs of all kinds in plays with long tasks; the others submit those.
const USUAL_ONE_IN: usize = 4;

/// Result of a play.
#[derive(Debug, Display)]
#[display(
    "seed {seed}: {} jobs, {completed} completed, {refused} refused, {given_up} given up, {disconnected} without an answer; \
     {} faults, {} violations",
    jobs, steps.len(), violations.len()
)]
pub struct Verdict {
    /// Seed of the play.
    pub seed: u64,
    /// Number of jobs that were submitted.
    pub jobs: usize,
    /// Number of attempts that were answered as completed.
    pub completed: usize,
    /// Number of attempts that were refused.
    pub refused: usize,
    /// Number of attempts that were given up or failed.
    pub given_up: usize,
    /// Number of attempts that ended without an answer: connection lost or timeout.
    pub disconnected: usize,
    /// Faults that were injected.
    pub steps: Vec<Step>,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
    /// Folder with the logs; `None` if there was no violation.
    pub logs: Option<PathBuf>,
}

/// Carries out the play of a seed, with `program` as the executable of the entries.
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
    let site = Arc::new(Site::start(program, size, plan::fleet(seed)).await?);
    let verdict = play_at(&site, seed, size, sabotage).await;
    site.kill_entries().await?;
    let verdict = verdict?;
    if verdict.violations.is_empty() {
        site.remove_logs()?;
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
    let mut entries: Vec<_> = site.nodes.iter().map(|node| node.callers.address).collect();
    let faulty_server = match sabotage {
        Some(sabotage) => Some(FaultyServer::start(sabotage, site).await?),
        None => None,
    };
    if let Some(faulty_server) = &faulty_server {
        entries[0] = faulty_server.address;
    }
    let stop = AtomicBool::new(false);
    let next_number = AtomicU64::new(1);
    let shared = Arc::new(Shared { entries, history: history.clone(), stop, seed, next_number });
    let injector = Arc::new(Injector {
        site: site.clone(),
        history: history.clone(),
        version,
        callers: shared.clone(),
        caller_count: size.callers,
    });
    let callers = start_callers(&shared, size);
    let observers = start_observers(&injector, &shared);
    Timer::after(WARM_UP).await;
    inject(&injector, &steps).await?;
    let recovered_at = Instant::now() + RECOVERY_TIME;
    Timer::at(recovered_at + POST_RECOVERY_TIME).await;
    shared.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    Timer::after(SETTLE_TIME).await;
    drop(observers);
    let record = history.record();
    let mut read = site.read_requests().await?;
    if let Some(faulty_server) = &faulty_server {
        read[0].extend(faulty_server.read());
    }
    let violations = find_violations(site, &record, recovered_at, &read);
    let logs = (!violations.is_empty()).then(|| site.folder().to_owned());
    Ok(summarize(seed, &record, steps, violations, logs))
}

/// Starts all callers.
fn start_callers(shared: &Arc<Shared>, size: &Size) -> Vec<Task<()>> {
    let start = |index| {
        let number = shared.next_number.fetch_add(1, Ordering::Relaxed);
        let load = match index % USUAL_ONE_IN {
            0 => Load::Usual,
            1 | 2 if plan::has_brief_jobs(shared.seed) => Load::Brief,
            _ if plan::has_long_tasks(shared.seed) => Load::Lasting,
            _ => Load::Usual,
        };
        smol::spawn(caller::run(shared.clone(), number, load))
    };
    (0..size.callers).map(start).collect()
}

/// Starts the observers, which stop when the tasks are dropped.
fn start_observers(injector: &Arc<Injector>, shared: &Shared) -> Vec<Task<()>> {
    let runs = watch::runs(injector.site.clone(), injector.history.clone());
    let entries = shared.entries.iter().enumerate();
    let configuration = entries.map(|(entry, address)| {
        smol::spawn(watch::configuration(injector.clone(), entry, *address))
    });
    iter::once(smol::spawn(runs)).chain(configuration).collect()
}

/// Injects all faults, each at its time, and waits until all are over.
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

fn find_violations(
    site: &Site,
    record: &Record,
    recovered_at: Instant,
    read: &[HashSet<String>],
) -> Vec<Violation> {
    let running = site.workers.iter().flat_map(|worker| worker.executor().running());
    let left_over: Vec<_> = running.map(|run| run.to_string()).collect();
    check::check(&Evidence {
        record,
        monitor: &site.monitor,
        begun: site.begun,
        recovered_at,
        read,
        left_over: &left_over,
    })
}

fn summarize(
    seed: u64,
    record: &Record,
    steps: Vec<Step>,
    violations: Vec<Violation>,
    logs: Option<PathBuf>,
) -> Verdict {
    let ends = || {
        let attempts = record.jobs.values().flat_map(|job| &job.attempts);
        attempts.filter_map(|attempt| attempt.end.map(|(_, outcome)| outcome))
    };
    let count = |matches: fn(&Outcome) -> bool| ends().filter(matches).count();
    Verdict {
        seed,
        jobs: record.jobs.len(),
        completed: count(|outcome| *outcome == Outcome::Completed),
        refused: count(|outcome| matches!(outcome, Outcome::Refused { .. })),
        given_up: count(|outcome| matches!(outcome, Outcome::GivenUp | Outcome::Failed)),
        disconnected: count(|outcome| matches!(outcome, Outcome::Disconnected | Outcome::TimedOut)),
        steps,
        violations,
        logs,
    }
}
