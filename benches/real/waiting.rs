//! Measures the memory used for callers that wait for their answers.

use crate::world::{self, World};
use serde_json::json;
use smol::Timer;
use std::time::Duration;

/// Number of executors. Each has 8 slots, so that most requests wait for a slot.
const EXECUTORS: usize = 50;

/// Time allowed for the entry to receive the requests.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Opens `waiters` connections with a request on each, and prints a row.
pub(crate) async fn measure(waiters: usize) {
    let world = World::start(1, EXECUTORS).await;
    let entry = &world.entries[0];
    let before = entry.memory();
    let body = json!({ "ms": 60_000, "echo": "a cutout of 560 by 490" }).to_string();
    let request = world::submit("/v1/requests/templating", &[], &body);
    let mut callers = Vec::new();
    for _ in 0..waiters {
        let mut caller = world.caller(0).await;
        caller.send(&request).await;
        callers.push(caller);
    }
    Timer::after(SETTLE_TIME).await;
    let after = entry.memory();
    let waiting = world.metric("waiters").await;
    println!(
        "waiting: {waiting} callers; resident {before} KiB before, {after} KiB with them: \
         {:.1} MiB more, {:.1} KiB a caller",
        (after - before) as f64 / 1024.0,
        (after - before) as f64 / waiting as f64,
    );
}
