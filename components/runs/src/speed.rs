//! How long executors take for a task, relative to the caller's estimate.

use crate::{Executor, executor::Kind};
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

    /// The run time of a task that is estimated at `estimate`.
    pub fn run_time(self, estimate: Span) -> Span {
        Span(estimate.0.saturating_mul(u64::from(self.0)) / 100)
    }
}

impl Default for Factor {
    fn default() -> Self {
        Self::ONE
    }
}

/// What is known of the speed of executors and their kinds.
#[derive(Debug, Default)]
pub(crate) struct Speeds {}

#[expect(dead_code, reason = "placement does not use the speeds yet")]
impl Speeds {
    /// Records that a run on `executor` took `elapsed`.
    pub(crate) fn observe(&mut self, _executor: &Executor, _elapsed: Span, _estimate: Span) {}

    /// The expected run time on an executor, relative to the estimate. [`Factor::ONE`] while the
    /// kinds are not known to differ.
    pub(crate) fn factor(&self, _executor: &Executor) -> Factor {
        Factor::ONE
    }

    /// Whether kinds of executors differ so much that placement takes their speed into account.
    pub(crate) fn is_uneven(&self) -> bool {
        false
    }

    /// The factors of the kinds that are known here, for reports to other entries.
    pub(crate) fn kinds(&self) -> Vec<(Kind, Factor)> {
        Vec::new()
    }
}
