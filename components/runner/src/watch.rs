//! Whether the entry needs the list of executors, for the task that watches their registrations.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering};

/// A flag whose changes can be awaited.
#[derive(Debug, Default)]
pub(crate) struct ExecutorWatch {
    wanted: AtomicBool,
    changed: Event,
}

impl ExecutorWatch {
    /// Sets the flag.
    pub(crate) fn set(&self, wanted: bool) {
        self.wanted.store(wanted, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Returns once the flag has this value.
    pub(crate) async fn wait_for(&self, wanted: bool) {
        loop {
            let changed = self.changed.listen();
            if self.wanted.load(Ordering::SeqCst) == wanted {
                return;
            }
            changed.await;
        }
    }
}
