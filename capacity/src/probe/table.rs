//! Measures the memory of queued tasks and of finished submissions.

use super::Sink;
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{CHECK, Folder},
        load::{Load, entry, home},
    },
    measure::{heap, timed, with_heap_growth},
};
use site::unit::Span;

const TASKS: [usize; 4] = [1, 25, 125, 780];

/// Total tasks of one measurement.
const TOTAL_TASKS: usize = 50_000;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    for tasks in TASKS {
        sink(open(tasks)?)?;
    }
    for tasks in TASKS {
        sink(finished(tasks)?)?;
    }
    Ok(())
}

/// Measures the memory of a queued task, including its part of the submission without bodies.
fn open(tasks: usize) -> Result<Point, Error> {
    let site = Folder { executors: 1, ..Folder::default() }.site()?;
    let mut load = Load::new(entry(home(0, 0), site, u32::MAX), CHECK, 4);
    let jobs = TOTAL_TASKS / tasks;
    let before = heap();
    let submissions = load.prepare(vec![tasks; jobs]);
    load.run(submissions, Span::ZERO);
    let grown = heap() - before;
    let found = load.entry.open_submissions() as u64;
    if found != jobs as u64 {
        return Err(Error::Unexpected { probe: Probe::OpenTask, expected: jobs as u64, found });
    }
    let per_task = grown / (jobs * tasks) as f64;
    Ok(Point::new(Probe::OpenTask, tasks, [(Quantity::HeapBytes, per_task)]))
}

/// Measures the memory of an answered submission, and the processor time of forgetting it.
fn finished(tasks: usize) -> Result<Point, Error> {
    let site = Folder { executors: 100, ..Folder::default() }.site()?;
    let mut load = Load::new(entry(home(0, 0), site, u32::MAX), CHECK, 4);
    let jobs = TOTAL_TASKS / tasks;
    let warm = load.prepare(vec![tasks; 4]);
    load.run(warm, Span::from_millis(1));
    load.finish_all();
    let ((), grown) = with_heap_growth(|| {
        let submissions = load.prepare(vec![tasks; jobs]);
        load.run(submissions, Span(1_000));
        load.finish_all();
    });
    let ((), forgotten) = timed(|| load.advance(load.now + Span::from_secs(600)));
    let each = jobs as f64;
    let values = [(Quantity::HeapBytes, grown / each), (Quantity::CpuNs, forgotten / each)];
    Ok(Point::new(Probe::FinishedAnswer, tasks, values))
}
