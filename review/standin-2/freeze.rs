//! The home of jobs is killed while the keeper of their executors stands still for a moment. The
//! keeper reads the home's last messages when it goes on, takes them for signs of life, and renews
//! the lease of the home's runs for too long.

use crate::{
    Verdict,
    deployment::{Deployment, Job, profile, submit},
    executor::Interval,
    http::Connection,
    record::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const EXECUTORS: u32 = 12;

/// Rounds of one kill of the home, one pause and one kill of a keeper each.
const ROUNDS: u32 = 7;

/// Long jobs of a round: each has this many tasks of this length.
const JOBS: u32 = 4;
const TASKS: u32 = 4;
const TASK_MS: u64 = 2_400;

/// Interval of the short jobs of other callers at the same process.
const SHORT_INTERVAL: Duration = Duration::from_millis(15);

/// From the long jobs until the keeper stands still.
const LEAD: Duration = Duration::from_millis(500);

/// How long the keeper stands still, and how much of that before the kill of the home.
const PAUSE: Duration = Duration::from_millis(430);
const PAUSE_BEFORE_KILL: Duration = Duration::from_millis(40);

/// From the kill of the home until that of the keeper.
const SECOND_KILL: Duration = Duration::from_millis(840);

/// After a broken channel the caller sends the job again this much later (`resend_ms`).
const RESEND: Duration = Duration::from_millis(1_300);

/// The shortest overlap that counts, in milliseconds: the record's resolution.
const MIN_OVERLAP_MS: u64 = 5;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let profiles = (0..EXECUTORS).map(|number| {
        let mut profile = profile(&format!("i-7f3a91{number:02}"), &format!("r1-{}", number / 4));
        profile.cpu = 64_000;
        profile
    });
    let mut deployment = Deployment::start(record, &profiles.collect::<Vec<_>>())?;
    deployment.add_node("front-hala-rez-3")?;
    deployment.wait()?;
    for round in 0..ROUNDS {
        play(record, &mut deployment, round, has_trouble)?;
    }
    thread::sleep(Duration::from_secs(3));
    let intervals = deployment.executors.iter().flat_map(|executor| executor.intervals());
    let overlaps = overlaps(intervals.collect());
    overlaps.iter().for_each(|line| record.line(line));
    match overlaps.first() {
        None => Ok(Verdict::Held),
        Some(first) => Ok(Verdict::Broken(format!("{} pairs of runs; {first}", overlaps.len()))),
    }
}

/// Plays one round; all three processes run before and after it.
fn play(
    record: &Record,
    deployment: &mut Deployment,
    round: u32,
    has_trouble: bool,
) -> io::Result<()> {
    let [home, keeper, third] = &deployment.nodes[..] else {
        return Err(io::Error::other("three processes are expected"));
    };
    record.line(format!("round {round}"));
    let is_over = Arc::new(AtomicBool::new(false));
    let shorts = send_short_jobs(home.callers, round, is_over.clone());
    let (first, then) = (home.callers, third.callers);
    let callers: Vec<_> = (0..JOBS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || call(&record, first, then, &long_job(round, number)))
        })
        .collect();
    thread::sleep(LEAD);
    if has_trouble {
        record.line(format!("SIGSTOP to {}", keeper.name));
        keeper.signal("STOP")?;
        thread::sleep(PAUSE_BEFORE_KILL);
        record.line(format!("SIGKILL to {}", home.name));
        home.signal("KILL")?;
        thread::sleep(PAUSE - PAUSE_BEFORE_KILL);
        record.line(format!("SIGCONT to {}", keeper.name));
        keeper.signal("CONT")?;
        thread::sleep(SECOND_KILL - (PAUSE - PAUSE_BEFORE_KILL));
        record.line(format!("SIGKILL to {}", keeper.name));
        keeper.signal("KILL")?;
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    is_over.store(true, Ordering::Relaxed);
    let _ = shorts.join();
    if has_trouble {
        deployment.replace_node(0)?;
        deployment.replace_node(1)?;
    }
    deployment.wait()
}

/// Submits a job, and submits it again at another process if the channel breaks.
fn call(record: &Record, first: SocketAddr, then: SocketAddr, job: &Job) {
    let answer =
        Connection::open(first).and_then(|mut connection| submit(record, &mut connection, job));
    if answer.is_err() {
        thread::sleep(RESEND);
        let again = Job { budget_ms: job.budget_ms - 2_000, ..job.clone() };
        let _ = Connection::open(then)
            .and_then(|mut connection| submit(record, &mut connection, &again));
    }
}

/// Sends short jobs one after the other until `is_over`; they are not recorded.
fn send_short_jobs(
    address: SocketAddr,
    round: u32,
    is_over: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let job = Job {
                id: format!("5afe0000{round:02}{number:06}"),
                tasks: 1,
                ms: 60,
                requirements: String::new(),
                budget_ms: 1_500,
            };
            thread::spawn(move || {
                let _ = Connection::open(address)
                    .and_then(|mut connection| crate::deployment::send(&mut connection, &job));
            });
            thread::sleep(SHORT_INTERVAL);
        }
    })
}

fn long_job(round: u32, number: u32) -> Job {
    Job {
        id: format!("5c0e7a21{round:04}{number:04}"),
        tasks: TASKS,
        ms: TASK_MS,
        requirements: String::new(),
        budget_ms: 10_000,
    }
}

/// Describes each pair of runs of one task that were there at the same time.
fn overlaps(intervals: Vec<Interval>) -> Vec<String> {
    let mut tasks: BTreeMap<String, Vec<Interval>> = BTreeMap::new();
    for interval in intervals {
        tasks.entry(interval.task.clone()).or_default().push(interval);
    }
    let mut found = Vec::new();
    for (task, mut runs) in tasks {
        runs.sort_by_key(|run| run.start);
        for pair in runs.windows(2) {
            let [one, other] = pair else { continue };
            let overlap = one.end.min(other.end).saturating_sub(other.start);
            if overlap >= MIN_OVERLAP_MS {
                found.push(format!(
                    "{task}: run {} on {} from {} to {} ms and run {} on {} from {} to {} ms, together for {overlap} ms",
                    one.run,
                    one.executor,
                    one.start,
                    one.end,
                    other.run,
                    other.executor,
                    other.start,
                    other.end
                ));
            }
        }
    }
    found
}
