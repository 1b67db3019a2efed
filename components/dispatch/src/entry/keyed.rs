//! Handles submissions under a caller's idempotency key. The platform's key-value service decides
//! which submission identifier a key stands for (key claim).

use super::{
    Entry,
    submit::{may_have_run, not_run},
};
use crate::{Action, event::ClaimResult};
use compact_str::CompactString;
use ledger::Waiter;
use rustc_hash::FxHashMap;
use site::{
    id::{SubmissionId, WaiterId},
    submission::{Answer, Failure, Outcome, Reason, Submission},
    unit::{Span, Time},
};
use std::sync::Arc;

/// Retry delay sent to a caller while the platform's key-value service is unavailable.
const PLATFORM_RETRY_AFTER: Span = Span::from_secs(2);

/// Maximum time to wait for a key claim.
const CLAIM_TIME_LIMIT: Span = Span::from_secs(2);

/// A keyed submission that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct KeyedSubmission {
    key: CompactString,
    first: bool,
    submission: Arc<Submission>,
    deadline: Time,
    /// Identifier that the key stands for, if another request had claimed the key before.
    taken: Option<SubmissionId>,
    /// Whether the claim has already been replaced once for this request.
    replaced: bool,
}

/// All keyed submissions without an answer, by caller.
pub(super) type Claims = FxHashMap<WaiterId, KeyedSubmission>;

impl Entry {
    /// Claims the key, so that the submission can be admitted under the identifier that the key
    /// stands for.
    pub(super) fn submit_keyed(
        &self,
        now: Time,
        waiter: WaiterId,
        key: CompactString,
        first: bool,
        submission: Arc<Submission>,
        out: &mut Vec<Action>,
    ) {
        let deadline = now + submission.deadline;
        let pending =
            KeyedSubmission { key, first, submission, deadline, taken: None, replaced: false };
        self.claim(waiter, pending, None, out);
    }

    fn claim(
        &self,
        waiter: WaiterId,
        pending: KeyedSubmission,
        replaces: Option<SubmissionId>,
        out: &mut Vec<Action>,
    ) {
        let submission = &pending.submission;
        out.push(Action::Claim {
            waiter,
            firm: submission.firm,
            key: pending.key.clone(),
            id: submission.id,
            replaces,
            time_limit: submission.deadline.min(CLAIM_TIME_LIMIT),
        });
        self.claims.lock().insert(waiter, pending);
    }

    /// Handles the result of a key claim.
    pub(super) fn claimed(
        &self,
        now: Time,
        waiter: WaiterId,
        result: ClaimResult,
        out: &mut Vec<Action>,
    ) {
        let Some(mut pending) = self.claims.lock().remove(&waiter) else {
            return;
        };
        let left = pending.deadline.since(now);
        let submission = Arc::make_mut(&mut pending.submission);
        submission.deadline = left;
        match result {
            ClaimResult::Won(id) => submission.id = id,
            ClaimResult::Taken(id) => {
                pending.taken = Some(id);
                submission.id = id;
            }
            ClaimResult::Unavailable => return self.reject_unclaimed(now, waiter, &pending, out),
        }
        let submission = pending.submission.clone();
        if pending.taken.is_some() {
            self.claims.lock().insert(waiter, pending);
        }
        self.submit(now, Waiter::Caller(waiter), submission, out);
    }

    /// Rejects a submission whose key claim failed. Nothing was admitted here. The submission may
    /// have run before, unless the caller says that the key is new.
    fn reject_unclaimed(
        &self,
        now: Time,
        waiter: WaiterId,
        pending: &KeyedSubmission,
        out: &mut Vec<Action>,
    ) {
        let failure = match pending.first {
            true => not_run(Reason::PlatformOut, Some(PLATFORM_RETRY_AFTER)),
            false => may_have_run(Reason::PlatformOut, Some(PLATFORM_RETRY_AFTER)),
        };
        let submission = &pending.submission;
        self.reject(now, Waiter::Caller(waiter), submission.id, submission.firm, failure, out);
    }

    /// Sends a caller its answer. If its key stands for a submission that was rejected for good,
    /// the key is claimed for a fresh identifier instead.
    pub(super) fn answer_caller(
        &self,
        now: Time,
        waiter: WaiterId,
        id: SubmissionId,
        answer: Arc<Answer>,
        out: &mut Vec<Action>,
    ) {
        let pending = self.claims.lock().remove(&waiter);
        let rejected =
            pending.filter(|p| p.taken == Some(id) && !p.replaced && is_rejected(&answer));
        let Some(mut pending) = rejected.filter(|p| p.deadline > now) else {
            return out.push(Action::Answer { waiter, id, answer });
        };
        pending.replaced = true;
        pending.taken = None;
        let fresh = SubmissionId { token: self.own_token(), unique: self.unique(id) };
        let submission = Arc::make_mut(&mut pending.submission);
        submission.id = fresh;
        submission.deadline = pending.deadline.since(now);
        self.claim(waiter, pending, Some(id), out);
    }

    /// Returns a unique part for an identifier, derived from `id` and this process. No two rejected
    /// submissions share one.
    fn unique(&self, id: SubmissionId) -> uuid::Uuid {
        let (high, low) = id.unique.as_u64_pair();
        let own = self.home.incarnation.0.rotate_left(17) ^ self.seed;
        uuid::Uuid::from_u64_pair(high ^ own, low.wrapping_add(id.home().incarnation.0 | 1))
    }
}

fn is_rejected(answer: &Answer) -> bool {
    let Answer::Failed(Failure { outcome: Outcome::NotRun, reason, .. }) = answer else {
        return false;
    };
    !matches!(reason, Reason::Conflict | Reason::Cancelled | Reason::Unknown)
}
