//! The process's clock.

use rustix::time::{ClockId, clock_gettime};
use site::unit::Time;

/// A monotonic clock that includes time for which the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Time since the machine booted.
    pub fn now(self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        Time(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
    }
}
