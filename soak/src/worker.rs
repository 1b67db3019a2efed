//! An executor of a play and the proxy in front of it. It can crash and return.

use crate::{
    plan::{Fleet, Naming, Speed},
    proxy::Proxy,
};
use parking_lot::Mutex;
use runs::executor::Incarnation;
use smol::lock;
use standin::{
    leased::{Executor, RunMonitor},
    ports,
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Kind of the fast executors, and their run time in percent of the estimate.
const FAST_KIND: (&str, u64) = ("fast", 70);

/// The same of the slow executors. More than `speed_ratio_percent` slower than the fast ones, so
/// that entries choose by kind.
const SLOW_KIND: (&str, u64) = ("slow", 170);

/// One executor in this many is slow.
const SLOW_ONE_IN: usize = 3;

/// An executor and the proxy in front of it, whose address is the same for all incarnations.
#[derive(Debug)]
pub struct Worker {
    /// Proxy between entries and the executor.
    pub orders: Proxy,
    /// Locked while the executor is down.
    pub presence: lock::Mutex<()>,
    index: usize,
    fleet: Fleet,
    /// Number of crashes so far.
    crashes: AtomicU64,
    executor: Mutex<Arc<Executor>>,
}

impl Worker {
    /// Starts an executor. `begun` is the common time origin of the play.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(
        index: usize,
        fleet: Fleet,
        begun: Instant,
        monitor: &Arc<RunMonitor>,
    ) -> io::Result<Worker> {
        let name = format!("i-{index}");
        let executor =
            Executor::start_incarnation(&name, incarnation(fleet.naming), begun, monitor)?;
        set_speed(&executor, index, fleet.speed);
        // Not assigned to outgoing connections while the executor is down.
        let orders = Proxy::start_at(ports::reserve()?, executor.address).await?;
        Ok(Worker {
            orders,
            presence: lock::Mutex::default(),
            index,
            fleet,
            crashes: AtomicU64::new(0),
            executor: Mutex::new(Arc::new(executor)),
        })
    }

    /// Returns the present incarnation; while the executor is down, the one that has crashed.
    pub fn executor(&self) -> Arc<Executor> {
        self.executor.lock().clone()
    }

    /// Crashes the executor: connections are reset, new ones are refused, and its runs are gone.
    pub async fn crash(&self) {
        // Nothing that the executor does from here on is observed.
        self.orders.close().await;
        self.executor().crash();
    }

    /// Starts the next incarnation at the same address.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn restart(&self, begun: Instant, monitor: &Arc<RunMonitor>) -> io::Result<()> {
        let number = self.crashes.fetch_add(1, Ordering::Relaxed) + 1;
        let name = match self.fleet.naming {
            Naming::Distinct => format!("i-{}-{number}", self.index),
            Naming::Shared => format!("i-{}", self.index),
        };
        let incarnation = incarnation(self.fleet.naming);
        let executor = Executor::start_incarnation(&name, incarnation, begun, monitor)?;
        set_speed(&executor, self.index, self.fleet.speed);
        let address = executor.address;
        *self.executor.lock() = Arc::new(executor);
        self.orders.reopen(address).await
    }
}

/// Sets the kind and the speed of a new incarnation.
fn set_speed(executor: &Executor, index: usize, speed: Speed) {
    let (kind, run_time_percent) = match speed {
        Speed::Alike => return,
        Speed::ByKind if index.is_multiple_of(SLOW_ONE_IN) => SLOW_KIND,
        Speed::ByKind => FAST_KIND,
    };
    executor.change(|state, _| {
        state.kind = kind;
        state.run_time_percent = run_time_percent;
    });
}

/// Returns what distinguishes an incarnation that starts now from others of its name.
fn incarnation(naming: Naming) -> Option<Incarnation> {
    match naming {
        Naming::Distinct => None,
        Naming::Shared => {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            Some(Incarnation(since.as_millis() as u64))
        }
    }
}
