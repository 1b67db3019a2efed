//! Whether an ended attempt is answered, repeated or given up: the one place that decides it.
//!
//! | reply | job | single, repeatable | single, not repeatable |
//! |---|---|---|---|
//! | done | answer | answer | answer |
//! | refused, not sent | again | again | again |
//! | failed | ran and failed | again | ran and failed |
//! | lost | may have run | again | may have run |
//! | silent | may have run | may have run | may have run |
//! | timed out | may have run | may have run | may have run |

use crate::event::Reply;
use rustc_hash::FxHashMap;
use site::{
    id::FirmId,
    submission::{Kind, Outcome, Reason, Submission},
};

/// What follows an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// Its output is the task's.
    Answer,
    /// Another attempt is allowed, since this one did not run.
    RetryNotRun,
    /// Another attempt is allowed, since the task is repeatable. Costs budget.
    RetryRepeatable,
    /// The submission fails.
    GiveUp(Outcome, Reason),
}

/// Judges an ended attempt by its reply alone.
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

/// What follows when a further attempt is allowed but not made.
pub(crate) fn give_up(reply: &Reply) -> (Outcome, Reason) {
    match reply {
        Reply::Refused(_) | Reply::NotSent => (Outcome::NotRun, Reason::NoEndpoint),
        Reply::Done(_) | Reply::Failed(_) => (Outcome::RanAndFailed, Reason::Endpoint),
        Reply::Lost | Reply::Silent | Reply::TimedOut => (Outcome::MayHaveRun, Reason::Endpoint),
    }
}

/// Attempts that one task may make, refused ones included.
pub(crate) const MAX_ATTEMPTS: u8 = 32;

/// Budget that a first attempt earns, in thousandths of a repeat.
const EARNED_MILLIRETRIES: u32 = 100;

/// Most budget that is saved up, in thousandths of a repeat.
const MAX_SAVED_MILLIRETRIES: u32 = 10_000;

/// Repeats that each firm may make: one for ten first attempts, and ten saved up.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    /// Thousandths of a repeat left; a firm that is absent has [`SAVED`].
    left: FxHashMap<FirmId, u32>,
}

impl Budget {
    /// Notes a first attempt.
    pub(crate) fn earn(&mut self, firm: FirmId) {
        let Some(left) = self.left.get_mut(&firm) else {
            return;
        };
        *left += EARNED_MILLIRETRIES;
        if *left >= MAX_SAVED_MILLIRETRIES {
            self.left.remove(&firm);
        }
    }

    /// Takes one repeat, if there is one.
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
