//! Timers that share one.
//!
//! Setting a timer of `smol` wakes its event loop, and each timer that is due wakes it again. An entry
//! sets two for each order and one or two for each packet, nearly all of which are moved or dropped
//! before they are due. The timers here are kept in a table that is looked at once in [`TICK`], so
//! that setting, moving and dropping one costs no system call. They are late by up to a tick and never
//! early. A profile of 16 entries at 11 jobs a second each has 7,264 samples in 10 s with them, and 9,467
//! with a timer of `smol` for each.

mod table;

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use table::{Key, TABLE};

/// How often due timers are looked for. A quarter of the shortest time limit that is kept by them,
/// the 25 ms of a delayed acknowledgement aside, which may well come together with the next one.
pub const TICK: Duration = Duration::from_millis(20);

/// A moment to wait for. Completes at the first tick after it.
#[derive(Debug)]
pub struct Deadline {
    at: Instant,
    /// Its place in the table while it is waited for.
    key: Option<Key>,
}

impl Deadline {
    /// The first tick after a moment.
    pub fn at(at: Instant) -> Self {
        Self { at, key: None }
    }

    /// Moves it. May be done while it is waited for, and after it has completed.
    pub fn set(&mut self, at: Instant) {
        self.at = at;
        self.key = self.key.take().and_then(|key| TABLE.shift(key, at));
    }
}

impl Future for Deadline {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let Some(key) = self.key else {
            self.key = Some(TABLE.insert(self.at, context.waker()));
            return Poll::Pending;
        };
        if TABLE.wake_with(key, context.waker()) {
            return Poll::Pending;
        }
        self.key = None;
        Poll::Ready(())
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            TABLE.remove(key);
        }
    }
}

/// Completes at the first tick after a time.
pub fn after(span: Duration) -> Deadline {
    Deadline::at(Instant::now() + span)
}

/// Completes at the next tick.
pub fn tick() -> Deadline {
    after(Duration::ZERO)
}
