//! Exponential backoff with jitter for attempts to connect.

use std::time::Duration;

/// Pauses that double from `min` to `max`, each randomly shortened by up to a half, so that the two
/// ends of a lost connection don't try at the same time.
#[derive(Debug)]
pub(super) struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(super) fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, next: min }
    }

    pub(super) fn reset(&mut self) {
        self.next = self.min;
    }

    pub(super) fn pause(&mut self) -> Duration {
        let pause = self.next.mul_f64(rand::random_range(0.5..=1.0));
        self.next = (self.next * 2).min(self.max);
        pause
    }
}
