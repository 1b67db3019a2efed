//! The lease of a running task.

use event_listener::Event;
use parking_lot::Mutex;
use smol::{Timer, future::FutureExt};
use std::time::{Duration, Instant};

/// A lease. The task may run until it expires or is revoked.
#[derive(Debug)]
pub(super) struct Lease {
    state: Mutex<State>,
    /// Notified when the state changes.
    changed: Event,
}

#[derive(Clone, Copy, Debug)]
struct State {
    deadline: Instant,
    revoked: bool,
}

/// The reason why a lease ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaseEnd {
    /// The lease wasn't renewed in time.
    Expired,
    /// The lease was revoked.
    Revoked,
}

impl Lease {
    pub(super) fn new(length: Duration) -> Lease {
        let state = State { deadline: Instant::now() + length, revoked: false };
        Lease { state: Mutex::new(state), changed: Event::new() }
    }

    pub(super) fn renew(&self, length: Duration) {
        self.state.lock().deadline = Instant::now() + length;
        self.changed.notify(usize::MAX);
    }

    pub(super) fn revoke(&self) {
        self.state.lock().revoked = true;
        self.changed.notify(usize::MAX);
    }

    /// Waits until the lease expires or is revoked.
    pub(super) async fn end(&self) -> LeaseEnd {
        loop {
            let changed = self.changed.listen();
            let state = *self.state.lock();
            if state.revoked {
                return LeaseEnd::Revoked;
            }
            if state.deadline <= Instant::now() {
                return LeaseEnd::Expired;
            }
            let expiry = async {
                Timer::at(state.deadline).await;
            };
            changed.or(expiry).await;
        }
    }
}
