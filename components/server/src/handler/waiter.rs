//! Limits the number of callers that wait for an answer.

use crate::Rejection;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the waiting callers, up to a limit.
#[derive(Debug)]
pub(super) struct WaiterLimit {
    limit: usize,
    waiting: AtomicUsize,
}

impl WaiterLimit {
    pub(super) fn new(limit: usize) -> WaiterLimit {
        WaiterLimit { limit, waiting: AtomicUsize::new(0) }
    }

    /// Counts one more caller until the returned permit is dropped.
    pub(super) fn acquire(&self) -> Result<Permit<'_>, Rejection> {
        let permit = Permit { limit: self };
        let before = self.waiting.fetch_add(1, Ordering::Relaxed);
        if before < self.limit { Ok(permit) } else { Err(Rejection::TooManyWaiters) }
    }
}

/// Permit of one waiting caller, released on drop.
#[derive(Debug)]
pub(super) struct Permit<'c> {
    limit: &'c WaiterLimit,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.limit.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
