//! A caller cancels a job that it waits for; its tasks are started on and on.

use crate::{
    Verdict,
    deployment::{Deployment, Job, cancel, profile, submit},
    http::Connection,
    record::Record,
};
use std::{io, thread, time::Duration};

/// When the job is cancelled after it was sent.
const CANCEL_AFTER: Duration = Duration::from_millis(400);

/// Bounds of the rule, in milliseconds: `cancel_ms` and `stop_ms`.
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 50;

/// Run time of a task, in milliseconds.
const TASK_MS: u64 = 900;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let deployment = Deployment::start(record, &[profile("i-7f3a91c2", "r1-1")])?;
    let address = deployment.nodes[0].callers;
    // Seven tasks, one after the other: 6.3 s.
    let job = Job {
        id: "5c0e7a21d94b36f8".to_owned(),
        tasks: 7,
        ms: TASK_MS,
        requirements: String::new(),
        budget_ms: 10_000,
    };
    let id = job.id.clone();
    let (submitting, mut connection) = (record.clone(), Connection::open(address)?);
    let caller = thread::spawn(move || submit(&submitting, &mut connection, &job));
    thread::sleep(CANCEL_AFTER);
    let mut acknowledged = None;
    if has_trouble {
        let (status, _) = cancel(record, address, &id)?;
        if !matches!(status, 200..300 | 410) {
            return Err(io::Error::other("the DELETE was not acknowledged"));
        }
        acknowledged = Some(record.now());
    }
    let _ = caller.join();
    let Some(acknowledged) = acknowledged else { return Ok(Verdict::Held) };
    let started = deployment.started();
    let is_late = |at: u64| at > acknowledged + CANCEL_MS;
    let late = started.iter().filter(|run| is_late(run.at)).count();
    let latest = started.iter().map(|run| run.at).max().unwrap_or_default();
    if late == 0 && latest + TASK_MS <= acknowledged + CANCEL_MS + STOP_MS {
        return Ok(Verdict::Held);
    }
    let after = latest.saturating_sub(acknowledged);
    Ok(Verdict::Broken(format!(
        "{late} tasks were started later than {CANCEL_MS} ms after the cancelling was acknowledged, the last one {after} ms after it"
    )))
}
