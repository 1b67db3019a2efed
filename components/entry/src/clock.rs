//! The monotonic clock of the process.

use site::unit::Time;
use std::time::{Duration, Instant};

/// Counts monotonic microseconds since its creation. Copies have the same origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX - 1))
    }

    /// Converts `time` to an instant; `None` for [`Time::NEVER`] or out of range.
    pub fn instant(&self, time: Time) -> Option<Instant> {
        match time {
            Time::NEVER => None,
            Time(micros) => self.origin.checked_add(Duration::from_micros(micros)),
        }
    }
}
