//! A process that gets SIGTERM accepts a job and ends before it has answered it.

use crate::{
    Verdict,
    deployment::{Deployment, Job, profile, submit},
    http::Connection,
    record::Record,
};
use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// When the job is sent after the SIGTERM: more than 3 s, up to which a rule excuses requests whose
/// executor is still at work near the end of `grace_s`.
const SEND_AFTER: Duration = Duration::from_millis(3_200);

/// The longest time from the SIGTERM that counts: `grace_s` and a second.
const PLANNED_MS: u64 = 7_000;

/// From this time after its last byte on, a request has to be answered: `loss_slack_ms`.
const LOSS_SLACK_MS: u64 = 200;

/// Callers that send a job each while the process stops, on connections that are open before.
const OTHERS: u32 = 12;

/// Time between two of their jobs. Less than a job takes, so that some job is always open.
const OTHERS_INTERVAL: Duration = Duration::from_millis(300);

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let profiles = [profile("i-7f3a91c2", "r1-1"), profile("i-0b41d6e8", "r1-2")];
    let deployment = Deployment::start(record, &profiles)?;
    let node = &deployment.nodes[0];
    // The connection stays open from here on, as those of callers do.
    let mut connection = Connection::open(node.callers)?;
    let first = job("1f0c3a5577d94b01", 2);
    if submit(record, &mut connection, &first)?.0 != 200 {
        return Err(io::Error::other("the first job was not completed"));
    }
    let others = open_all(node.callers)?;
    let others = thread::spawn({
        let record = record.clone();
        move || send_in_turn(&record, others)
    });
    // The first of them runs by then.
    thread::sleep(OTHERS_INTERVAL / 2);
    let start = Instant::now();
    let terminated = record.now();
    if has_trouble {
        record.line(format!("SIGTERM to {}", node.name));
        node.signal("TERM")?;
    }
    thread::sleep(SEND_AFTER.saturating_sub(start.elapsed()));
    // Seven rounds on the two executors: 2.8 s.
    let job = job("5c0e7a21d94b36f8", 14);
    let sent = record.now();
    let answer = submit(record, &mut connection, &job);
    let ended = record.now();
    let _ = others.join();
    let ran = deployment.started().iter().filter(|run| run.task.starts_with(&job.id)).count();
    record.line(format!("{ran} tasks of {} had been started", job.id));
    match answer {
        Ok(_) => Ok(Verdict::Held),
        Err(error) => {
            let is_planned = has_trouble && ended < terminated + PLANNED_MS;
            let is_lost = ran > 0 || ended > sent + LOSS_SLACK_MS;
            let (after_term, after_send) = (ended - terminated, ended - sent);
            let how = format!(
                "the channel ended {after_term} ms after the SIGTERM and {after_send} ms after the request, without an answer ({error}); {ran} tasks of it had been started"
            );
            match is_planned && is_lost {
                true => Ok(Verdict::Broken(how)),
                false => Err(io::Error::other(how)),
            }
        }
    }
}

fn open_all(address: SocketAddr) -> io::Result<Vec<Connection>> {
    (0..OTHERS).map(|_| Connection::open(address)).collect()
}

/// Sends a job on each connection, one after the other, and waits for their answers.
fn send_in_turn(record: &Record, connections: Vec<Connection>) {
    let send = |(number, mut connection): (usize, Connection)| {
        let record = record.clone();
        let caller = thread::spawn(move || {
            let job = job(&format!("2a9d3b6c0000{number:04}"), 1);
            submit(&record, &mut connection, &job)
        });
        thread::sleep(OTHERS_INTERVAL);
        caller
    };
    let callers: Vec<_> = connections.into_iter().enumerate().map(send).collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
}

fn job(id: &str, tasks: u32) -> Job {
    Job { id: id.to_owned(), tasks, ms: 400, requirements: String::new(), budget_ms: 10_000 }
}
