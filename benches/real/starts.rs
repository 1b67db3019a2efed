//! Measures task starts per second with jobs whose tasks end at once.

use crate::{
    caller::Caller,
    world::{self, World},
};
use serde_json::json;
use smol::Timer;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Number of executors, the same as at both sites; each has 8 slots.
const EXECUTORS: usize = 50;

/// Time before the counted interval.
const WARM_UP: Duration = Duration::from_secs(2);

/// Counts of the answers that all callers received.
#[derive(Default)]
struct Tally {
    complete: AtomicUsize,
    failed: AtomicUsize,
}

/// Lets `callers` callers submit jobs of `tasks` tasks one after another, and prints a row.
pub(crate) async fn measure(callers: usize, tasks: usize, time: Duration) {
    let world = World::start(1, EXECUTORS).await;
    let tally = Arc::new(Tally::default());
    let task = json!({ "body": { "ms": 0, "echo": "a cutout of 560 by 490" } });
    let job = json!({ "service": "templating", "tasks": vec![task; tasks] }).to_string();
    let job: Arc<[u8]> = world::submit("/v1/jobs", &[], &job).into();
    let mut running = Vec::new();
    for _ in 0..callers {
        let caller = world.caller(0).await;
        running.push(smol::spawn(submit(caller, job.clone(), tally.clone())));
    }
    Timer::after(WARM_UP).await;
    let [entry, executors] = [&world.entries[0], &world.executors];
    let cpu = [entry.cpu(), executors.cpu()];
    let (complete, start) = (tally.complete.load(Ordering::Relaxed), Instant::now());
    Timer::after(time).await;
    let elapsed = start.elapsed().as_secs_f64();
    let starts = ((tally.complete.load(Ordering::Relaxed) - complete) * tasks) as f64;
    let entry_cores = (entry.cpu() - cpu[0]).as_secs_f64() / elapsed;
    let executor_cores = (executors.cpu() - cpu[1]).as_secs_f64() / elapsed;
    let rate = starts / elapsed;
    println!(
        "starts: {rate:.0}/s, {:.0}/s a core of the entry; cores: entry {entry_cores:.2}, \
         executors {executor_cores:.2}; jobs failed: {}; log lines dropped: {}; {} MiB resident",
        rate / entry_cores,
        tally.failed.load(Ordering::Relaxed),
        world.metric("log_lines_dropped").await,
        entry.memory() >> 10,
    );
}

/// Submits the same job repeatedly; each request is a new job, since it has no identifier.
async fn submit(mut caller: Caller, job: Arc<[u8]>, tally: Arc<Tally>) {
    loop {
        let count = match caller.exchange(&job).await.status {
            200 => &tally.complete,
            _ => &tally.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}
