//! Virtual time: service received, divided by weight.

use site::unit::{Span, Weight};

/// Number of virtual ticks for one microsecond of service at weight 1.
const TICKS_PER_MICROSECOND: u64 = 8;

/// A point in virtual time or a length of it. Saturates when a firm of weight 1 has used 170,000
/// slots without a break for 156 days; from then on firms are served in any order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct VirtualTime(u64);

impl VirtualTime {
    /// Returns the virtual time of `cost` at `weight`. A weight of 0 counts as 1.
    pub(crate) fn of(cost: Span, weight: Weight) -> Self {
        Self(cost.0.saturating_mul(TICKS_PER_MICROSECOND) / u64::from(weight.0.max(1)))
    }

    /// Returns the service that a total weight of `weight` receives in this length of virtual time.
    pub(crate) fn service(self, weight: u64) -> Span {
        Span(self.0.saturating_mul(weight) / TICKS_PER_MICROSECOND)
    }

    /// Adds `other`; saturates.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts `other`; saturates at zero.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}
