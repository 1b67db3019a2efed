//! Whether the logic wants to know the executors, for the task that reads their registrations.

use event_listener::Event;
use std::sync::atomic::{AtomicBool, Ordering};

/// A wish that may be waited for.
#[derive(Debug, Default)]
pub(crate) struct Following {
    wanted: AtomicBool,
    changed: Event,
}

impl Following {
    /// Changes the wish.
    pub(crate) fn set(&self, wanted: bool) {
        self.wanted.store(wanted, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Returns once the wish is this.
    pub(crate) async fn is(&self, wanted: bool) {
        loop {
            let changed = self.changed.listen();
            if self.wanted.load(Ordering::SeqCst) == wanted {
                return;
            }
            changed.await;
        }
    }
}
