//! Rate limit of claim writes.

use parking_lot::Mutex;
use site::unit::{Span, Time};

/// Token bucket that limits the rate of writes and allows bursts. The caller passes the time.
#[derive(Debug)]
pub struct RateLimiter {
    interval: Span,
    /// How far `full_at` may be in the future before a write.
    tolerance: Span,
    /// Time at which the bucket will be full again.
    full_at: Mutex<Time>,
}

impl RateLimiter {
    /// Allows `rate` writes per second and bursts of `burst` writes. Either counts as 1 if it is 0.
    pub fn new(rate: u32, burst: u32) -> RateLimiter {
        let interval = Span(1_000_000 / u64::from(rate.max(1)));
        let tolerance = Span(interval.0 * u64::from(burst.max(1) - 1));
        RateLimiter { interval, tolerance, full_at: Mutex::new(Time::default()) }
    }

    /// Takes the token of one write.
    ///
    /// # Errors
    ///
    /// Returns the time until the next write is allowed if no token is left.
    pub fn acquire(&self, now: Time) -> Result<(), Span> {
        let mut full_at = self.full_at.lock();
        let ahead = full_at.since(now);
        if ahead > self.tolerance {
            return Err(ahead - self.tolerance);
        }
        *full_at = now.max(*full_at) + self.interval;
        Ok(())
    }
}
