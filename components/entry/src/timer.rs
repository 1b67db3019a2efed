//! Sleeps until the next timer of the decision logic.

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use site::unit::Time;
use smol::Timer;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Minimum time between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(200);

/// Deadline that the timer task sleeps until, which others may move forward.
#[derive(Debug)]
pub(crate) struct Alarm {
    armed: AtomicU64,
    earlier: (Sender<()>, Receiver<()>),
}

impl Default for Alarm {
    fn default() -> Alarm {
        Alarm { armed: AtomicU64::new(0), earlier: async_channel::bounded(1) }
    }
}

impl Alarm {
    /// Wakes the timer task if `next` is earlier than the time that it sleeps until.
    pub(crate) fn advance(&self, next: Time) {
        if next.0 < self.armed.load(Ordering::SeqCst) {
            // If the channel is full, a wake-up is pending already.
            let _ = self.earlier.0.try_send(());
        }
    }

    /// Records the time that the timer task is about to sleep until. The task must read the next
    /// timer again afterwards, since a change just before this call was not signalled.
    pub(crate) fn arm(&self, next: Time) {
        self.armed.store(next.0, Ordering::SeqCst);
    }

    /// Sleeps until `due`, or until an earlier time is signalled.
    pub(crate) async fn sleep(&self, due: Option<Instant>) {
        let expire = async {
            match due {
                Some(due) => drop(Timer::at(due.max(Instant::now() + MIN_TICK_INTERVAL)).await),
                None => std::future::pending().await,
            }
        };
        let earlier = async {
            let _ = self.earlier.1.recv().await;
        };
        expire.or(earlier).await;
    }
}
