//! Submissions, and what callers ask about them, at their home.

use super::{
    EPOCHS, Entry,
    ask::{ASK_LIMIT, Ask, GRACE},
};
use crate::{Action, Decision, action::Status};
use ledger::{Admission, Job, Lookup, Waiter};
use site::{
    id::{FirmId, SubmissionId, WaiterId},
    submission::{Answer, Failure, Kind, Outcome, Reason, Submission},
    unit::{Span, Time},
};
use std::sync::{Arc, atomic::Ordering};

/// When a caller may come back after this entry refused since it is stopping: at once, elsewhere.
const DRAINING_RETRY_AFTER: Span = Span::from_millis(50);

impl Entry {
    /// Admits a submission here, or sends it on to its home.
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
            let deadline = now + submission.deadline + GRACE;
            self.route(now, waiter, Ask::Submit(submission), deadline, out);
        }
    }

    /// Enters a submission in the table, unless it is there already, and queues its tasks.
    pub(super) fn admit(
        &self,
        now: Time,
        waiter: Waiter,
        submission: Arc<Submission>,
        out: &mut Vec<Action>,
    ) {
        let id = submission.id;
        let deadline = now + submission.deadline;
        let number = || self.jobs.fetch_add(1, Ordering::Relaxed);
        let bar = || self.bar(id);
        let admission = self.shard(id).lock().admit(&submission, waiter, deadline, bar, number);
        self.arm(deadline);
        if let Admission::New(job) = &admission {
            return self.enqueue(now, job, out);
        }
        self.answer_known(now, waiter, &submission, admission, out);
    }

    /// Answers a submission that the table knows or bars.
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
                self.refuse(now, waiter, id, firm, failure, out);
            }
            Admission::Rejected(failure) => {
                let failure = self.qualify(submission, failure);
                self.refuse(now, waiter, id, firm, failure, out);
            }
        }
    }

    /// Why a submission that is not in the table may not enter it. Ask under the shard's lock.
    fn bar(&self, id: SubmissionId) -> Option<Failure> {
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

    /// A failure as it may be told. Of a submission with another home this entry knows only its own
    /// part. What may be run again may have been run by others: while this process was paused and
    /// taken for gone, or by the successor of a stopping one.
    fn qualify(&self, submission: &Submission, failure: Failure) -> Failure {
        let foreign = submission.id.home() != self.home;
        let away = self.was_paused() || failure.reason == Reason::Draining;
        let moved = self.may_be_moved(submission) && away;
        match failure.outcome {
            Outcome::NotRun if foreign || moved => {
                Failure { outcome: Outcome::MayHaveRun, ..failure }
            }
            _ => failure,
        }
    }

    fn may_be_moved(&self, submission: &Submission) -> bool {
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
            self.arm(pool.next_timer());
            admitted
        };
        if let Err(failure) = admitted {
            self.fail(now, job, failure, out);
        }
    }

    /// Fixes a failure as the answer of an open job.
    pub(super) fn fail(&self, now: Time, job: &Job, failure: Failure, out: &mut Vec<Action>) {
        job.close();
        let id = job.submission.id;
        let failure = self.qualify(&job.submission, failure);
        let finish = self.shard(id).lock().fail(id, failure);
        if finish.is_some() {
            let firm = job.submission.firm;
            out.push(Action::Log(Decision::Refuse { id, firm, failure }));
        }
        self.deliver(now, id, finish, out);
    }

    /// Ends an open job: no task of it starts any more.
    pub(super) fn end(&self, now: Time, job: &Job, reason: Reason, out: &mut Vec<Action>) {
        let started = match self.pool_of(job.submission.service) {
            Some(pool) => pool.lock().close(job, out),
            None => job.close(),
        };
        let outcome = if started { Outcome::MayHaveRun } else { Outcome::NotRun };
        self.fail(now, job, Failure { outcome, reason, retry_after: None }, out);
    }

    /// Answers when a submission has its answer.
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
                self.refuse(now, waiter, id, firm, self.unknown(id), out);
            }
            Lookup::Unknown => {
                let deadline = now + deadline + GRACE;
                self.route(now, waiter, Ask::Fetch { id, firm }, deadline, out);
            }
        }
    }

    /// What is told of an identifier of this home that the table does not hold: its submission may
    /// still be on its way.
    fn unknown(&self, id: SubmissionId) -> Failure {
        match self.is_expired(id) {
            true => ledger::table::expired_failure(),
            false => may_have_run(Reason::Unknown, None),
        }
    }

    fn is_expired(&self, id: SubmissionId) -> bool {
        id.token.epoch.saturating_add(EPOCHS) <= self.epoch.load(Ordering::Relaxed)
    }

    /// Ends a submission, unless it has its answer.
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
            Lookup::Open(job) => self.end(now, &job, Reason::Cancelled, out),
            Lookup::Finished(answer) => self.answer(now, waiter, id, answer, out),
            Lookup::Unknown if id.home() == self.home => {
                self.cancel_unknown(now, waiter, id, firm, out);
            }
            Lookup::Unknown => {
                self.route(now, waiter, Ask::Cancel { id, firm }, now + ASK_LIMIT, out);
            }
        }
    }

    /// Keeps a submission from running that was cancelled before it arrived.
    fn cancel_unknown(
        &self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        firm: FirmId,
        out: &mut Vec<Action>,
    ) {
        if self.is_expired(id) {
            return self.refuse(now, waiter, id, firm, ledger::table::expired_failure(), out);
        }
        let failure = not_run(Reason::Cancelled, None);
        let arrived = {
            let mut shard = self.shard(id).lock();
            // Another firm's submission is to look like none.
            !shard.insert_tombstone(id, firm, failure)
                && !matches!(shard.lookup(id, firm, None), Lookup::Unknown)
        };
        match arrived {
            true => self.cancel(now, waiter, id, firm, out),
            false => self.refuse(now, waiter, id, firm, failure, out),
        }
    }

    /// Tells how far a submission has come.
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
            return self.tell(waiter, status, out);
        }
        self.route(now, waiter, Ask::Query { id, firm }, now + ASK_LIMIT, out);
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

    /// Forgets that a caller waits.
    pub(super) fn abandon(&self, waiter: WaiterId, id: SubmissionId) {
        self.shard(id).lock().remove_waiter(id, Waiter::Caller(waiter));
        self.routes.lock().abandon(waiter);
        self.claims.lock().remove(&waiter);
    }
}

/// A failure of something of which nothing ran or will.
pub(super) fn not_run(reason: Reason, retry_after: Option<Span>) -> Failure {
    Failure { outcome: Outcome::NotRun, reason, retry_after }
}

/// A failure of something that may have run.
pub(super) fn may_have_run(reason: Reason, retry_after: Option<Span>) -> Failure {
    Failure { outcome: Outcome::MayHaveRun, reason, retry_after }
}
