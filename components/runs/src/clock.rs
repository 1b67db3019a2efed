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

/// The offset between another entry's clock and this one: the smallest difference seen, which is
/// that of the message with the shortest transit time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Offset {
    /// Local arrival time minus the sender's time, wrapping; `None` before the first message.
    min_difference: Option<u64>,
}

impl Offset {
    /// Returns how much longer than the fastest message this one, sent at `sent`, was in transit.
    pub fn age(&mut self, now: Time, sent: Time) -> Span {
        let difference = now.0.wrapping_sub(sent.0);
        let min_difference = match self.min_difference {
            // Compared by wrapping subtraction, since the two clocks have unrelated origins.
            Some(min) if (difference.wrapping_sub(min) as i64) >= 0 => min,
            _ => difference,
        };
        self.min_difference = Some(min_difference);
        Span(difference.wrapping_sub(min_difference))
    }
}
