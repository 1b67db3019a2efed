//! One-shot event with any number of waiters.

use async_channel::{Receiver, Sender};

/// A latch that is set at most once and never reset.
#[derive(Debug)]
pub(crate) struct Latch {
    /// Nothing is ever sent; closing the channel wakes all waiters.
    open: Sender<()>,
    waiting: Receiver<()>,
}

impl Default for Latch {
    fn default() -> Latch {
        let (open, waiting) = async_channel::bounded(1);
        Latch { open, waiting }
    }
}

impl Latch {
    /// Sets the latch. Returns whether it was not set before.
    pub(crate) fn set(&self) -> bool {
        self.open.close()
    }

    /// Returns whether the latch is set.
    pub(crate) fn is_set(&self) -> bool {
        self.open.is_closed()
    }

    /// Waits until the latch is set.
    pub(crate) async fn wait(&self) {
        let _ = self.waiting.recv().await;
    }
}
