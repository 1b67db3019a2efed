//! The process's clock.

use arrival::Clocks;
use rustix::time::{ClockId, clock_gettime};
use site::unit::Time;

/// A monotonic clock that includes time for which the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Time since the machine booted.
    pub fn now(self) -> Time {
        read(ClockId::Boottime)
    }

    /// Time since the machine booted, and time since 1970.
    pub(crate) fn read_both(self) -> Clocks {
        Clocks { steady: self.now(), wall: read(ClockId::Realtime) }
    }
}

fn read(clock: ClockId) -> Time {
    let now = clock_gettime(clock);
    Time(now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000)
}
