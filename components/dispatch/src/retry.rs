//! Decides whether a task is answered, retried or given up after an attempt has ended. No other
//! module decides this.
//!
//! | reply | job | single, repeatable | single, not repeatable |
//! |---|---|---|---|
//! | done | answer | answer | answer |
//! | refused, not sent | retry | retry | retry |
//! | failed | ran and failed | retry | ran and failed |
//! | lost | may have run | retry | may have run |
//! | silent | may have run | may have run | may have run |
//! | timed out | may have run | may have run | may have run |

use crate::event::Reply;
use rustc_hash::FxHashMap;
use site::{
    id::FirmId,
    submission::{Kind, Outcome, Reason, Submission},
};

/// What follows an ended attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The attempt's output is the task's output.
    Answer,
    /// A retry is allowed, since this attempt did not run.
    RetryNotRun,
    /// A retry is allowed, since the task is repeatable. It costs retry budget.
    RetryRepeatable,
    /// The submission fails.
    GiveUp(Outcome, Reason),
}

/// Returns what follows an ended attempt, by its reply alone.
pub(crate) fn judge(reply: &Reply, submission: &Submission) -> Verdict {
    let may_repeat = submission.kind == Kind::Single && submission.repeatable;
    match reply {
        Reply::Done(_) => Verdict::Answer,
        Reply::Refused(_) | Reply::NotSent => Verdict::RetryNotRun,
        Reply::Failed(_) | Reply::Lost if may_repeat => Verdict::RetryRepeatable,
        Reply::Failed(_) => Verdict::GiveUp(Outcome::RanAndFailed, Reason::Endpoint),
        Reply::Lost | Reply::Silent => Verdict::GiveUp(Outcome::MayHaveRun, Reason::Endpoint),
        Reply::TimedOut => Verdict::GiveUp(Outcome::MayHaveRun, Reason::Deadline),
    }
}

/// Returns the failure to report when a retry is allowed but not made.
pub(crate) fn give_up(reply: &Reply) -> (Outcome, Reason) {
    match reply {
        Reply::Refused(_) | Reply::NotSent => (Outcome::NotRun, Reason::NoEndpoint),
        Reply::Done(_) | Reply::Failed(_) => (Outcome::RanAndFailed, Reason::Endpoint),
        Reply::Lost | Reply::Silent | Reply::TimedOut => (Outcome::MayHaveRun, Reason::Endpoint),
    }
}

/// Maximum number of attempts of one task, including refused ones. Does not apply to attempts that
/// did not run while other attempts of the job may have run.
pub(crate) const MAX_ATTEMPTS: u8 = 32;

/// Budget that a first attempt earns, in thousandths of a retry.
const EARNED_MILLIRETRIES: u32 = 100;

/// Maximum budget that a firm can save, in thousandths of a retry.
const MAX_SAVED_MILLIRETRIES: u32 = 10_000;

/// Retry budget of each firm: one retry for ten first attempts, and up to ten saved.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    /// Remaining budget, in thousandths of a retry; a firm that is absent has
    /// [`MAX_SAVED_MILLIRETRIES`].
    left: FxHashMap<FirmId, u32>,
}

impl Budget {
    /// Adds the budget that a first attempt earns.
    pub(crate) fn earn(&mut self, firm: FirmId) {
        let Some(left) = self.left.get_mut(&firm) else {
            return;
        };
        *left += EARNED_MILLIRETRIES;
        if *left >= MAX_SAVED_MILLIRETRIES {
            self.left.remove(&firm);
        }
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub(crate) fn spend(&mut self, firm: FirmId) -> bool {
        let left = self.left.entry(firm).or_insert(MAX_SAVED_MILLIRETRIES);
        match left.checked_sub(1_000) {
            Some(rest) => {
                *left = rest;
                true
            }
            None => false,
        }
    }
}
