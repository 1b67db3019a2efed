//! Run time on an executor relative to the estimate.

use super::fit::{MAX_FACTOR, MIN_FACTOR};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use site::unit::Span;

/// Run time of a task on an executor, in percent of the caller's estimate.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Factor(pub u16);

impl Factor {
    /// A task takes as long as its caller estimates.
    pub const ONE: Self = Self(100);

    /// The smallest factor that is measured. A smaller one in a report is wrong.
    pub const MIN: Self = Self(5);

    /// The run time of a task that is estimated at `estimate`.
    pub fn run_time(self, estimate: Span) -> Span {
        Span(estimate.0.saturating_mul(u64::from(self.0)) / 100)
    }

    pub(super) fn from_ratio(ratio: f64) -> Self {
        Self((ratio.clamp(MIN_FACTOR, MAX_FACTOR) * 100.0).round() as u16)
    }

    pub(super) fn ratio(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl Default for Factor {
    fn default() -> Self {
        Self::ONE
    }
}
