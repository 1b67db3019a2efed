//! Polls workers for the measured resource usage of running tasks.

use crate::Engine;
use dispatch::Event;
use parking_lot::Mutex;
use smol::Timer;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Time between two rounds of polling the workers that run tasks of this process.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Set of workers that run tasks of this process.
#[derive(Debug, Default)]
pub(crate) struct BusyWorkers {
    /// Number of running attempts by worker address, never zero.
    workers: Mutex<BTreeMap<SocketAddr, u32>>,
}

impl BusyWorkers {
    /// Counts an attempt that was sent to `worker`.
    pub(crate) fn start(&self, worker: SocketAddr) {
        *self.workers.lock().entry(worker).or_default() += 1;
    }

    /// Counts the end of an attempt on `worker`.
    pub(crate) fn end(&self, worker: SocketAddr) {
        let mut workers = self.workers.lock();
        let Some(running) = workers.get_mut(&worker) else { return };
        *running -= 1;
        if *running == 0 {
            workers.remove(&worker);
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.workers.lock().keys().copied().collect()
    }
}

/// Polls the busy workers for their measurements, one after another. Never returns.
pub(crate) async fn run(engine: Arc<Engine>) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        for worker in engine.busy_workers().addresses() {
            poll(&engine, worker).await;
        }
    }
}

async fn poll(engine: &Arc<Engine>, worker: SocketAddr) {
    let Some(usage) = engine.transport().usage(worker).await else { return };
    let own = engine.home().incarnation;
    for task in usage.tasks.iter().filter(|task| task.attempt.incarnation == own) {
        engine.post(Event::Usage { attempt: task.attempt.attempt, measured: task.used });
    }
}
