//! An executor of a play and the proxy in front of it. It can crash and return.

use crate::{plan::Naming, proxy::Proxy};
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

/// An executor and the proxy in front of it, whose address is the same for all incarnations.
#[derive(Debug)]
pub struct Worker {
    /// Proxy between entries and the executor.
    pub orders: Proxy,
    /// Locked while the executor is down.
    pub presence: lock::Mutex<()>,
    index: usize,
    naming: Naming,
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
        naming: Naming,
        begun: Instant,
        monitor: &Arc<RunMonitor>,
    ) -> io::Result<Worker> {
        let name = format!("i-{index}");
        let executor = Executor::start_incarnation(&name, incarnation(naming), begun, monitor)?;
        // Not assigned to outgoing connections while the executor is down.
        let orders = Proxy::start_at(ports::reserve()?, executor.address).await?;
        Ok(Worker {
            orders,
            presence: lock::Mutex::default(),
            index,
            naming,
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
        let name = match self.naming {
            Naming::Distinct => format!("i-{}-{number}", self.index),
            Naming::Shared => format!("i-{}", self.index),
        };
        let incarnation = incarnation(self.naming);
        let executor = Executor::start_incarnation(&name, incarnation, begun, monitor)?;
        let address = executor.address;
        *self.executor.lock() = Arc::new(executor);
        self.orders.reopen(address).await
    }
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
