//! An executor starts again under its id on a machine of another kind, and gets tasks that require
//! the kind that it had.

use crate::{
    Verdict,
    deployment::{Deployment, Job, profile, submit},
    executor::Profile,
    http::Connection,
    record::Record,
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// The label that the jobs require: the kind of the first executor before its crash.
const REQUIRED: &str = "a";

/// How long the executor is down.
const DOWN: Duration = Duration::from_millis(300);

/// Within this time the processes have looked at the executor's new life: they poll an idle executor
/// more often than once in a second.
const LOOK_LIMIT: Duration = Duration::from_millis(1_100);

/// Number of crashes, and of jobs after each.
const CRASHES: u32 = 4;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let first = Profile { has_born: true, ..profile("i-7f3a91c2", "r1-1") };
    let deployment = Deployment::start(record, std::slice::from_ref(&first))?;
    let executor = &deployment.executors[0];
    let address = deployment.nodes[0].callers;
    if submit(record, &mut Connection::open(address)?, &job(0))?.0 != 200 {
        return Err(io::Error::other("the first job was not completed"));
    }
    let mut looked = 0;
    for number in 1..=CRASHES {
        if has_trouble {
            // The new life has the other kind; its first report to the store is due within
            // `heartbeat_ms`.
            let kind = if number % 2 == 1 { "b" } else { "a" };
            executor.wait_for_report();
            executor.crash();
            thread::sleep(DOWN);
            let labels = [kind.to_owned(), first.labels[1].clone()];
            executor.restart(Profile { labels, ..first.clone() });
            looked += u32::from(wait_for_list(|| executor.is_listed()));
        } else {
            thread::sleep(DOWN + LOOK_LIMIT);
        }
        let _ = submit(record, &mut Connection::open(address)?, &job(number));
        // The report to the store has arrived everywhere by then.
        thread::sleep(Duration::from_secs(3));
    }
    let started = deployment.started();
    let wrong: Vec<_> = started.iter().filter(|run| run.kind != REQUIRED).collect();
    record.line(format!("{looked} of {CRASHES} new lives had listed their runs before the job"));
    match wrong.first() {
        None => Ok(Verdict::Held),
        Some(run) => Ok(Verdict::Broken(format!(
            "{} tasks that require the label {REQUIRED} were started on a machine without it; the first is {}#{} on {}, of kind {}",
            wrong.len(),
            run.task,
            run.run,
            run.executor,
            run.kind
        ))),
    }
}

fn wait_for_list(is_listed: impl Fn() -> bool) -> bool {
    let until = Instant::now() + LOOK_LIMIT;
    while !is_listed() && Instant::now() < until {
        thread::sleep(Duration::from_millis(5));
    }
    // The answer has to reach the process.
    thread::sleep(Duration::from_millis(20));
    is_listed()
}

fn job(number: u32) -> Job {
    Job {
        id: format!("5c0e7a2100000{number:03}"),
        tasks: 1,
        ms: 100,
        requirements: REQUIRED.to_owned(),
        budget_ms: 1_500,
    }
}
