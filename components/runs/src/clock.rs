//! The clock of another machine, as far as it is known.

use site::unit::{Span, Time};

/// By how much the other clock may run slow, in thousandths.
const SLOWEST_PER_MILLE: u64 = 20;

/// A time on an executor's steady clock, in its own milliseconds.
pub type Remote = u64;

/// How long a span on another clock may last on the own one.
pub(crate) fn longest(span: Span) -> Span {
    let per_mille = 1_000 - SLOWEST_PER_MILLE;
    Span((span.0 * 1_000).div_ceil(per_mille))
}

/// What is known of an executor's clock: one reading, and when it arrived here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    reading: Remote,
    received: Time,
}

impl Clock {
    /// A reading that arrived at `received`. The clock showed it earlier, so it now shows at least
    /// this.
    pub fn new(reading: Remote, received: Time) -> Self {
        Self { reading, received }
    }

    /// Takes a newer reading in. Answers may overtake each other, so one that says less than is
    /// known is left out.
    pub fn update(&mut self, reading: Remote, received: Time) {
        if reading >= self.least(received) {
            *self = Self::new(reading, received);
        }
    }

    /// What the clock shows now at least.
    pub fn least(&self, now: Time) -> Remote {
        let passed = now.since(self.received).0 / 1_000;
        self.reading + passed - passed * SLOWEST_PER_MILLE / 1_000
    }

    /// A deadline `span` from now, never later than that on the other clock.
    pub fn deadline(&self, now: Time, span: Span) -> Remote {
        self.least(now) + span.0 / 1_000
    }

    /// How old the reading is.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.received)
    }
}

/// How another entry's clock relates to the own one: the least difference seen, which is that of
/// the message with the shortest way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Offset {
    /// Own time of arrival less the sender's time, wrapping; `None` before the first message.
    least: Option<u64>,
}

impl Offset {
    /// How much longer than the quickest message one was on its way that was sent at `sent`.
    pub fn age(&mut self, now: Time, sent: Time) -> Span {
        let difference = now.0.wrapping_sub(sent.0);
        let least = match self.least {
            // Less by wrapping subtraction: the shorter way, whatever the clocks began at.
            Some(least) if (difference.wrapping_sub(least) as i64) >= 0 => least,
            _ => difference,
        };
        self.least = Some(least);
        Span(difference.wrapping_sub(least))
    }
}
