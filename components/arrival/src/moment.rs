//! A moment at which a socket is read.

use site::unit::{Span, Time};

/// What the clocks of the machine show at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Clocks {
    /// A clock that is never set and includes time for which the machine was suspended.
    pub steady: Time,
    /// Time since 1970. It may be set.
    pub wall: Time,
}

impl Clocks {
    /// By how much the wall clock was set between `earlier` and this moment.
    pub(crate) fn shift(self, earlier: Clocks) -> Span {
        let passed = |from: Time, to: Time| to.0 as i128 - from.0 as i128;
        let shift = passed(earlier.wall, self.wall) - passed(earlier.steady, self.steady);
        Span(u64::try_from(shift.unsigned_abs()).unwrap_or(u64::MAX))
    }
}

/// A moment just before a socket is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Moment {
    /// Steady time.
    pub now: Time,
    /// All that had arrived on sockets with a waiting reader before this time has been read.
    pub read_until: Time,
    /// Wall time, unless the wall clock may have been set since `read_until`.
    pub(crate) wall: Option<Time>,
}

impl Moment {
    /// Converts a time stamp of the kernel to steady time; `None` if the wall clock may have been set
    /// since.
    pub(crate) fn steady(&self, stamp: Time) -> Option<Time> {
        let age = self.wall?.since(stamp);
        Some(Time(self.now.0.saturating_sub(age.0)))
    }
}
