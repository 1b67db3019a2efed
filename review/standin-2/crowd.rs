//! Users keep one channel each open. One of two processes is killed, and its users open their
//! channels to the other one, which has no descriptor left then and never serves again.

use crate::{
    Verdict,
    deployment::{Deployment, Job, count, profile, submit},
    http::Connection,
    record::Record,
    site::{DESCRIPTORS, Node},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// Users of each process: a little more than half of the descriptors that it may use.
const USERS: u32 = DESCRIPTORS / 2 + 50;

/// Time between two users that come at first, and that return.
const USER_INTERVAL: Duration = Duration::from_millis(2);

/// How long a user waits for an answer or a channel.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Consecutive channels that can't be opened after which no more users return.
const FAILURES: u32 = 3;

/// How long the process has after all users have closed their channels: `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Requests after that.
const LATER_REQUESTS: u32 = 4;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let profiles = [profile("i-7f3a91c2", "r1-1"), profile("i-0b41d6e8", "r1-2")];
    let mut deployment = Deployment::start(record, &profiles)?;
    let mut users = Vec::new();
    for node in &deployment.nodes {
        users.extend(let_users_come(node)?);
        record.line(format!("{USERS} users have asked for the queue; {}", node.usage()));
    }
    let other = deployment.nodes.pop();
    let node = &deployment.nodes[0];
    if let Some(other) = other
        && has_trouble
    {
        record.line(format!("SIGKILL to {}", other.name));
        other.signal("KILL")?;
        drop(other);
        let returned = let_users_return(record, node);
        record.line(format!("{} of its users have a channel again", returned.len()));
        users.truncate(USERS as usize);
        users.extend(returned);
        watch(record, node);
    }
    if let Some(user) = users.first_mut() {
        let answer = submit(record, user, &job(0));
        record.line(format!("a job of the first user: answered {}", answer.is_ok()));
    }
    drop(users);
    record.line("all users have closed their channels");
    thread::sleep(RECOVERY);
    let served = (1..=LATER_REQUESTS).filter(|number| is_served(record, node, *number)).count();
    let is_ready = node.is_ready();
    record.line(format!("{served} of {LATER_REQUESTS} jobs served; ready: {is_ready}"));
    watch(record, node);
    match served * 4 >= LATER_REQUESTS as usize {
        true => Ok(Verdict::Held),
        false => Ok(Verdict::Broken(format!(
            "{served} of {LATER_REQUESTS} jobs were served later than {} s after all users had closed their channels; {}",
            RECOVERY.as_secs(),
            node.usage()
        ))),
    }
}

/// Lets users come: each opens a channel, asks for the length of the queue and keeps the channel.
fn let_users_come(node: &Node) -> io::Result<Vec<Connection>> {
    let come = |_| {
        thread::sleep(USER_INTERVAL);
        let mut user = Connection::open_within(node.callers, PATIENCE)?;
        count(&mut user, PATIENCE)?;
        Ok(user)
    };
    (0..USERS).map(come).collect()
}

/// Lets the users of the killed process open channels for their next requests.
fn let_users_return(record: &Record, node: &Node) -> Vec<Connection> {
    let (mut users, mut failures) = (Vec::new(), 0);
    for number in 0..USERS {
        thread::sleep(USER_INTERVAL);
        match Connection::open_within(node.callers, PATIENCE) {
            Ok(user) => {
                users.push(user);
                failures = 0;
            }
            Err(error) => {
                failures += 1;
                record.line(format!("returning user {number} got no channel: {error}"));
            }
        }
        if failures == FAILURES {
            break;
        }
    }
    users
}

/// Records what the process uses during a second.
fn watch(record: &Record, node: &Node) {
    let until = Instant::now() + Duration::from_secs(1);
    record.line(node.usage());
    thread::sleep(until.saturating_duration_since(Instant::now()));
    record.line(format!("a second later {}", node.usage()));
}

/// Whether a job on a new channel is completed.
fn is_served(record: &Record, node: &Node, number: u32) -> bool {
    let answer = Connection::open_within(node.callers, PATIENCE)
        .and_then(|mut user| submit(record, &mut user, &job(number)));
    matches!(answer, Ok((200, _)))
}

fn job(number: u32) -> Job {
    Job {
        id: format!("5c0e7a2100000{number:03}"),
        tasks: 1,
        ms: 60,
        requirements: String::new(),
        budget_ms: 1_500,
    }
}
