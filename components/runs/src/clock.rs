//! Bounds on the clocks of other machines.

use site::unit::{Span, Time};

/// How much slower than this machine's clock another one may run, in thousandths.
const MAX_SLOWNESS_PER_MILLE: u64 = 20;

/// A time on an executor's monotonic clock, in milliseconds of that clock.
pub type RemoteTime = u64;

/// Converts a span on another clock to the longest span that it may last on this machine's clock.
pub(crate) fn max_local_span(span: Span) -> Span {
    let per_mille = 1_000 - MAX_SLOWNESS_PER_MILLE;
    Span((span.0 * 1_000).div_ceil(per_mille))
}

/// What is known of an executor's clock: one reading and its time of arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    reading: RemoteTime,
    received: Time,
}

impl Clock {
    /// Creates a clock from a reading that arrived at `received`. The executor took the reading
    /// before that, so it is a lower bound.
    pub fn new(reading: RemoteTime, received: Time) -> Self {
        Self { reading, received }
    }

    /// Applies a newer reading. Responses may arrive out of order, so a reading below the known
    /// lower bound is ignored.
    pub fn update(&mut self, reading: RemoteTime, received: Time) {
        if reading >= self.lower_bound(received) {
            *self = Self::new(reading, received);
        }
    }

    /// Lower bound of what the clock shows at `now`.
    pub fn lower_bound(&self, now: Time) -> RemoteTime {
        let passed = now.since(self.received).0 / 1_000;
        self.reading + passed - passed * MAX_SLOWNESS_PER_MILLE / 1_000
    }

    /// A deadline `span` from now on the other clock. It may be too early, never too late.
    pub fn deadline(&self, now: Time, span: Span) -> RemoteTime {
        self.lower_bound(now) + span.0 / 1_000
    }

    /// Age of the reading.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.received)
    }
}

/// What is known of another entry's clock: one reading, and a time at which it can't have been taken
/// yet.
///
/// A message that crosses the network for long, or waits to be handled, makes its sender's times look
/// later than they are. So a reading counts only with a message of this entry that the sender had
/// handled before it took the reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerClock {
    reading: Option<Reading>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    /// What the other clock showed.
    shown: Time,
    /// By this entry's clock, the reading was taken at this time or later.
    earliest: Time,
}

impl PeerClock {
    /// Applies a reading that was taken at `earliest` or later and is known at `now`. The one that tells
    /// more is kept, unless it can't be true: the other clock was set.
    pub fn update(&mut self, now: Time, shown: Time, earliest: Time) {
        let tells_more = |known: Time| earliest < known && known <= now;
        if !self.earliest(shown).is_some_and(tells_more) {
            self.reading = Some(Reading { shown, earliest });
        }
    }

    /// The earliest time by this entry's clock at which the other one can have shown `time`, whichever
    /// of the two runs slow; `None` before the first reading.
    pub fn earliest(&self, time: Time) -> Option<Time> {
        let Reading { shown, earliest } = self.reading?;
        let drift = |span: Span| Span(span.0 * MAX_SLOWNESS_PER_MILLE / 1_000);
        Some(match time >= shown {
            true => {
                let passed = time.since(shown);
                earliest + (passed - drift(passed))
            }
            false => {
                let before = shown.since(time);
                Time(earliest.0.saturating_sub((before + drift(before)).0))
            }
        })
    }
}
