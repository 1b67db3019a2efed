//! Which executors are fast enough for a task.
//!
//! A job's objective grows with the true length of its tasks: its deadline is computed as a constant
//! plus the estimate times its [`Stretch`]. A task that is longer than estimated by some time is
//! therefore due later by that time multiplied by the stretch.

use crate::{job::Stretch, speed::Factor};
use site::unit::Span;

/// Time allowed for the part of a run that depends on its length, in percent of the expected one, if
/// the task is long. Estimates are off by up to 40%, and a factor fitted to them is often too small.
const LONG_MARGIN_PERCENT: i128 = 125;

/// Multiple of the fixed part of a run time from which half of the margin applies. For shorter tasks
/// a factor that is too small is made up for by a fixed part that is too large.
const LONG_MULTIPLE: i128 = 10;

/// A task's deadline, for a start at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline {
    /// Run time of the task, by its caller's estimate.
    pub(crate) estimate: Span,
    /// Microseconds until the deadline of its job, as computed from the estimate; negative after
    /// it.
    pub(crate) left: i64,
    /// How the deadline depends on the true length.
    pub(crate) stretch: Stretch,
    /// Part of a run time that does not depend on the length: the order, the start and the listing.
    pub(crate) fixed: Span,
}

impl Deadline {
    /// The slowest speed at which the task is in time: with the lengths that `caution_percent`
    /// allows for if an executor of speed `fastest` is fast enough for all of them, otherwise with
    /// the estimated one. At least the speed of executors that are about as fast as `fastest`.
    /// `None` if the task is late even on that executor.
    pub(crate) fn slowest(&self, fastest: Factor, caution_percent: u64) -> Option<Factor> {
        let is_enough = |slowest: &Factor| *slowest >= fastest;
        let cautious = Some(self.slowest_within(caution_percent)).filter(is_enough);
        let slowest = cautious.or_else(|| Some(self.slowest_within(100)).filter(is_enough))?;
        Some(slowest.max(fastest.class_limit()))
    }

    /// The slowest speed at which the task is in time if its length is between the estimate divided
    /// by `percent` and the estimate multiplied by it. The run time and the deadline are linear in
    /// the length, so both bounds decide.
    fn slowest_within(&self, percent: u64) -> Factor {
        let percent = percent.max(1);
        // Estimates and deadlines come from callers and other entries: their products may not fit
        // into 64 bits.
        let (estimate, percent) = (i128::from(self.estimate.0), i128::from(percent));
        let slowest = |length: i128| {
            let length = length.max(1);
            let extra = i128::from(self.stretch.0) * (length - estimate) / 100;
            let left = i128::from(self.left) + extra - i128::from(self.fixed.0);
            (left * 10_000 / (length * self.margin_percent())).clamp(0, i128::from(u16::MAX)) as u16
        };
        let lengths = [estimate * 100 / percent, estimate * percent / 100];
        Factor(lengths.map(slowest).into_iter().min().unwrap_or_default())
    }

    /// Time allowed for the part of a run that depends on its length, in percent of the expected
    /// one.
    fn margin_percent(&self) -> i128 {
        let (estimate, fixed) = (i128::from(self.estimate.0), i128::from(self.fixed.0));
        let long = (LONG_MULTIPLE * fixed + estimate).max(1);
        100 + (LONG_MARGIN_PERCENT - 100) * estimate / long
    }
}
