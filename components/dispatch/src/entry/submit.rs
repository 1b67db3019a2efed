//! Handles submissions at their home, and the callers' requests about them.

use super::{
    EPOCHS, Entry,
    forwarded::{ANSWER_GRACE, Call, STATUS_TIME_LIMIT},
};
use crate::{Action, Decision, action::Status};
use ledger::{Admission, Job, Lookup, Waiter};
use site::{
    id::{FirmId, SubmissionId, WaiterId},
    submission::{Answer, Failure, Kind, Outcome, Reason, Submission},
    unit::{Span, Time},
};
use std::sync::{Arc, atomic::Ordering};

/// Retry delay sent to a caller that a draining entry rejects. It is short, since another entry can
/// admit the submission at once.
const DRAINING_RETRY_AFTER: Span = Span::from_millis(50);

impl Entry {
    /// Admits a submission here, or forwards it to its home.
    pub(super) fn submit(
        &self,
        now: Time,
        waiter: Waiter,
        submission: Arc<Submission>,
        out: &mut Vec<Action>,
    ) {
        if submission.id.home() == self.home {
            self.admit(now, waiter, submission, out);
        } else {
            let deadline = now + submission.deadline + ANSWER_GRACE;
            self.route(now, waiter, Call::Submit(submission), deadline, out);
        }
    }

    /// Adds a submission to the table, unless it is already there, and queues its tasks.
    pub(super) fn admit(
        &self,
        now: Time,
        waiter: Waiter,
        submission: Arc<Submission>,
        out: &mut Vec<Action>,
    ) {
        let id = submission.id;
        let deadline = now + submission.deadline;
        let number = || self.next_job_number.fetch_add(1, Ordering::Relaxed);
        let rejection = || self.admission_rejection(id);
        let admission =
            self.shard(id).lock().admit(&submission, waiter, deadline, rejection, number);
        self.schedule_tick(deadline);
        if let Admission::New(job) = &admission {
            return self.enqueue(now, job, out);
        }
        self.answer_known(now, waiter, &submission, admission, out);
    }

    /// Answers a submission that is already in the table or may not be added to it.
    pub(super) fn answer_known(
        &self,
        now: Time,
        waiter: Waiter,
        submission: &Submission,
        admission: Admission,
        out: &mut Vec<Action>,
    ) {
        let (id, firm) = (submission.id, submission.firm);
        match admission {
            Admission::New(_) | Admission::Joined => {}
            Admission::Finished(answer) => self.answer(now, waiter, id, answer, out),
            Admission::Conflict => {
                let failure = not_run(Reason::Conflict, None);
                self.reject(now, waiter, id, firm, failure, out);
            }
            Admission::Rejected(failure) => {
                let failure = self.weaken_failure(submission, failure);
                self.reject(now, waiter, id, firm, failure, out);
            }
        }
    }

    /// Returns why a submission that is not in the table may not be added. Must be called under the
    /// shard's lock.
    fn admission_rejection(&self, id: SubmissionId) -> Option<Failure> {
        if id.home() == self.home && self.is_expired(id) {
            return Some(ledger::table::expired_failure());
        }
        if id.home() == self.home && id.token.epoch > self.epoch.load(Ordering::Relaxed) {
            return Some(not_run(Reason::Unknown, None));
        }
        if self.is_draining() {
            return Some(not_run(Reason::Draining, Some(DRAINING_RETRY_AFTER)));
        }
        None
    }

    /// Returns the failure to report: `NotRun` becomes `MayHaveRun` where this entry can't know it.
    /// Of a submission with another home it knows only its own part. A repeatable one may have been
    /// run by others: while this process was paused and considered gone, or by the successor of a
    /// draining entry.
    fn weaken_failure(&self, submission: &Submission, failure: Failure) -> Failure {
        let foreign = submission.id.home() != self.home;
        let was_absent = self.was_paused() || failure.reason == Reason::Draining;
        let may_have_moved = self.may_run_elsewhere(submission) && was_absent;
        match failure.outcome {
            Outcome::NotRun if foreign || may_have_moved => {
                Failure { outcome: Outcome::MayHaveRun, ..failure }
            }
            _ => failure,
        }
    }

    fn may_run_elsewhere(&self, submission: &Submission) -> bool {
        submission.kind == Kind::Single && submission.repeatable
    }

    fn enqueue(&self, now: Time, job: &Arc<Job>, out: &mut Vec<Action>) {
        let submission = &job.submission;
        if let Err((outcome, reason)) = self.index().check(submission) {
            let failure = Failure { outcome, reason, retry_after: None };
            return self.fail(now, job, failure, out);
        }
        let Some(pool) = self.pool_of(submission.service) else {
            return self.fail(now, job, not_run(Reason::NoContract, None), out);
        };
        let admitted = {
            let mut pool = pool.lock();
            let admitted = pool.submit(now, job, out);
            self.schedule_tick(pool.next_timer());
            admitted
        };
        if let Err(failure) = admitted {
            self.fail(now, job, failure, out);
        }
    }

    /// Stores a failure as the final answer of an open job.
    pub(super) fn fail(&self, now: Time, job: &Job, failure: Failure, out: &mut Vec<Action>) {
        job.close();
        let id = job.submission.id;
        let failure = self.weaken_failure(&job.submission, failure);
        let finish = self.shard(id).lock().fail(id, failure);
        if finish.is_some() {
            let firm = job.submission.firm;
            out.push(Action::Log(Decision::Refuse { id, firm, failure }));
        }
        self.deliver(now, id, finish, out);
    }

    /// Ends an open job with a failure; none of its tasks starts any more.
    pub(super) fn end_job(&self, now: Time, job: &Job, reason: Reason, out: &mut Vec<Action>) {
        let started = match self.pool_of(job.submission.service) {
            Some(pool) => pool.lock().close(job, out),
            None => job.close(),
        };
        let outcome = if started { Outcome::MayHaveRun } else { Outcome::NotRun };
        self.fail(now, job, Failure { outcome, reason, retry_after: None }, out);
    }

    /// Answers a caller once the submission has its final answer.
    pub(super) fn fetch(
        &self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        firm: FirmId,
        deadline: Span,
        out: &mut Vec<Action>,
    ) {
        let found = self.shard(id).lock().lookup(id, firm, Some(waiter));
        match found {
            Lookup::Open(_) => {}
            Lookup::Finished(answer) => self.answer(now, waiter, id, answer, out),
            Lookup::Unknown if id.home() == self.home => {
                self.reject(now, waiter, id, firm, self.unknown(id), out);
            }
            Lookup::Unknown => {
                let deadline = now + deadline + ANSWER_GRACE;
                self.route(now, waiter, Call::Fetch { id, firm }, deadline, out);
            }
        }
    }

    /// Returns the failure for an identifier of this home that is not in the table. Its submission
    /// may still be in transit.
    fn unknown(&self, id: SubmissionId) -> Failure {
        match self.is_expired(id) {
            true => ledger::table::expired_failure(),
            false => may_have_run(Reason::Unknown, None),
        }
    }

    fn is_expired(&self, id: SubmissionId) -> bool {
        id.token.epoch.saturating_add(EPOCHS) <= self.epoch.load(Ordering::Relaxed)
    }

    /// Cancels a submission, unless it has its final answer.
    pub(super) fn cancel(
        &self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        firm: FirmId,
        out: &mut Vec<Action>,
    ) {
        let found = self.shard(id).lock().lookup(id, firm, Some(waiter));
        match found {
            Lookup::Open(job) => self.end_job(now, &job, Reason::Cancelled, out),
            Lookup::Finished(answer) => self.answer(now, waiter, id, answer, out),
            Lookup::Unknown if id.home() == self.home => {
                self.cancel_unknown(now, waiter, id, firm, out);
            }
            Lookup::Unknown => {
                self.route(now, waiter, Call::Cancel { id, firm }, now + STATUS_TIME_LIMIT, out);
            }
        }
    }

    /// Prevents a submission from running whose cancellation arrived first.
    fn cancel_unknown(
        &self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        firm: FirmId,
        out: &mut Vec<Action>,
    ) {
        if self.is_expired(id) {
            return self.reject(now, waiter, id, firm, ledger::table::expired_failure(), out);
        }
        // It may be a repeatable request, which others may have run while this entry was absent.
        let failure = match self.was_paused() || self.is_draining() {
            true => may_have_run(Reason::Cancelled, None),
            false => not_run(Reason::Cancelled, None),
        };
        let arrived = {
            let mut shard = self.shard(id).lock();
            // Another firm's submission must look as if it did not exist.
            !shard.insert_tombstone(id, firm, failure)
                && !matches!(shard.lookup(id, firm, None), Lookup::Unknown)
        };
        match arrived {
            true => self.cancel(now, waiter, id, firm, out),
            false => self.reject(now, waiter, id, firm, failure, out),
        }
    }

    /// Answers a request for the status of a submission.
    pub(super) fn query(
        &self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        firm: FirmId,
        out: &mut Vec<Action>,
    ) {
        let status = self.status(id, firm);
        if status.is_some() || id.home() == self.home {
            return self.send_status(waiter, status, out);
        }
        self.route(now, waiter, Call::Query { id, firm }, now + STATUS_TIME_LIMIT, out);
    }

    fn status(&self, id: SubmissionId, firm: FirmId) -> Option<Status> {
        let mut shard = self.shard(id).lock();
        match shard.lookup(id, firm, None) {
            Lookup::Unknown => None,
            Lookup::Open(_) => {
                let (tasks, done) = shard.progress(id)?;
                Some(Status { tasks, done, finished: false })
            }
            Lookup::Finished(answer) => {
                let tasks = match &*answer {
                    Answer::Complete(outputs) => outputs.len() as u16,
                    Answer::Failed(_) => 0,
                };
                Some(Status { tasks, done: tasks, finished: true })
            }
        }
    }

    /// Removes a caller that no longer waits.
    pub(super) fn abandon(&self, waiter: WaiterId, id: SubmissionId) {
        self.shard(id).lock().remove_waiter(id, Waiter::Caller(waiter));
        self.forwarded.lock().abandon(waiter);
        self.claims.lock().remove(&waiter);
    }
}

/// Returns the failure of a submission of which nothing has run or will run.
pub(super) fn not_run(reason: Reason, retry_after: Option<Span>) -> Failure {
    Failure { outcome: Outcome::NotRun, reason, retry_after }
}

/// Returns the failure of a submission that may have run.
pub(super) fn may_have_run(reason: Reason, retry_after: Option<Span>) -> Failure {
    Failure { outcome: Outcome::MayHaveRun, reason, retry_after }
}
