//! Measures the processor time of a task at its home, from submission to answer, without transport.

use super::{Sink, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{CHECK, Folder, REPORT},
        load::{Load, RUN_TIME, entry, home},
    },
    measure::timed,
};
use site::unit::Span;

const TASKS: [usize; 4] = [1, 25, 125, 780];

const ENDPOINTS: [usize; 4] = [50, 633, 1_900, 5_700];

const FIRMS: [usize; 3] = [5, 63, 630];

/// Least number of tasks of one measurement.
const MIN_TASKS: usize = 100_000;

/// Tasks submitted under one token.
const TASKS_PER_TOKEN: usize = 5_000;

/// Mean number of tasks running on a worker: 170,000 starts per second of 420 ms each, on 5,700
/// workers.
const RUNNING_PER_WORKER: f64 = 12.5;

/// Tasks of each job where the size counts something else.
const JOB_TASKS: usize = 125;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    for tasks in TASKS {
        sink(min_of_runs(|| by_job(tasks))?)?;
    }
    for endpoints in ENDPOINTS {
        let folder = Folder { workers: endpoints, ..Folder::default() };
        sink(min_of_runs(|| on_workers(Probe::StartByEndpoints, endpoints, &folder))?)?;
    }
    for firms in FIRMS {
        let quota = Some((100_000 / firms) as u32);
        let folder = Folder { workers: 1_900, firms, quota, ..Folder::default() };
        sink(min_of_runs(|| on_workers(Probe::StartByFirms, firms, &folder))?)?;
    }
    Ok(())
}

/// Measures jobs on 50 executors, of whose slots half are in use on average.
fn by_job(tasks: usize) -> Result<Point, Error> {
    let site = Folder { executors: 50, ..Folder::default() }.site()?;
    let load = Load::new(entry(home(0, 0), site, u32::MAX), CHECK, 4);
    run(Probe::Start, tasks, load, tasks, 200.0)
}

fn on_workers(probe: Probe, size: usize, folder: &Folder) -> Result<Point, Error> {
    let entry = entry(home(0, 0), folder.site()?, u32::MAX);
    let load = Load::new(entry, REPORT, folder.firms);
    run(probe, size, load, JOB_TASKS, RUNNING_PER_WORKER * folder.workers as f64)
}

fn run(
    probe: Probe,
    size: usize,
    mut load: Load,
    tasks: usize,
    running: f64,
) -> Result<Point, Error> {
    let gap = Span((RUN_TIME.0 as f64 / running).max(1.0) as u64);
    let total = MIN_TASKS.max(4 * running as usize);
    let mut time = 0.0;
    let mut measured = 0;
    let (warm, _) = submit(&mut load, tasks, running as usize, gap);
    while measured < total {
        let part = TASKS_PER_TOKEN.min(total - measured);
        let (submitted, spent) = submit(&mut load, tasks, part, gap);
        measured += submitted;
        time += spent;
    }
    time += timed(|| load.finish_all()).1;
    let (expected, found) = ((warm + measured) as u64, load.answered);
    if found != expected {
        return Err(Error::Unexpected { probe, expected, found });
    }
    Ok(Point::new(probe, size, [(Quantity::CpuNs, time / measured as f64)]))
}

/// Submits jobs of `total` tasks or more under a fresh token. Returns the number of tasks and the
/// processor time of submitting them, without that of creating them.
fn submit(load: &mut Load, tasks: usize, total: usize, gap: Span) -> (usize, f64) {
    let jobs = total.div_ceil(tasks);
    let submissions = load.prepare(vec![tasks; jobs]);
    let ((), time) = timed(|| load.run(submissions, gap));
    (jobs * tasks, time)
}
