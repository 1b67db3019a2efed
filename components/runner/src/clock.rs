//! The clock of the process.

use rustix::time::{ClockId, clock_gettime};
use site::unit::Time;

/// A clock that also counts the time for which the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// The time since the machine's start.
    pub fn now(self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        Time(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
    }
}
