//! The end of attempts.

use super::{Attempt, Ended, Hold, Item, Pool, observation};
use crate::{
    Action, Decision,
    action::Cause,
    event::{Refusal, Reply, Report},
    retry::{self, Verdict},
};
use fairness::{JobKey, Key};
use rustc_hash::FxHashSet;
use site::{
    id::{AttemptId, EndpointId, TaskId},
    submission::{Failure, Outcome, Reason},
    unit::{Resources, Span, Time},
};
use std::cmp::Reverse;

/// How long capacity that an endpoint said is taken stays unused.
const BUSY_HOLD: Span = Span::from_millis(50);

/// When a caller may come back after no endpoint took its task.
const FAILED_RETRY_AFTER: Span = Span::from_millis(500);

impl Pool {
    /// Takes notice of the end of an attempt.
    pub(crate) fn report(&mut self, now: Time, report: Report, out: &mut Vec<Action>) -> Ended {
        let Some(attempt) = self.attempts.remove(&report.attempt) else {
            return Ended::Nothing;
        };
        self.forget_running(report.attempt, &attempt);
        let firm = attempt.item.job.submission.firm;
        self.placement.release(attempt.endpoint, &attempt.needs);
        self.observe(now, &attempt, &report, out);
        let ended = self.conclude(now, attempt, report, out);
        self.tell_usage(firm, out);
        self.settle(now, out);
        ended
    }

    /// Takes notice of what a running attempt occupies.
    pub(crate) fn measure(&mut self, attempt: AttemptId, measured: Resources) {
        if let Some(attempt) = self.attempts.get_mut(&attempt) {
            let before = attempt.measured.unwrap_or_default();
            attempt.measured = Some(before.max(&measured));
        }
    }

    fn forget_running(&mut self, id: AttemptId, attempt: &Attempt) {
        let job = attempt.item.job.number;
        let Some(running) = self.running.get_mut(&job) else {
            return;
        };
        running.attempts.retain(|running| *running != id);
        running.spread.remove(self.placement.rack(attempt.endpoint).unwrap_or_default());
        if running.attempts.is_empty() {
            self.running.remove(&job);
        }
    }

    fn observe(&mut self, now: Time, attempt: &Attempt, report: &Report, out: &mut Vec<Action>) {
        let endpoint = attempt.endpoint;
        let what = observation(&report.reply, report.elapsed, attempt.item.cost);
        let known = health::Attempt {
            started: Some(attempt.started),
            cause: Some(health::Cause(attempt.item.job.number)),
        };
        let change = self.health.observe_attempt(now, endpoint, what, known);
        self.apply(now, endpoint, change, out);
        self.reopen(now, endpoint);
        if report.leaving || report.reply == Reply::Refused(Refusal::Leaving) {
            self.leave(endpoint, out);
        }
        if report.reply == Reply::Refused(Refusal::Busy) {
            self.hold(now, endpoint);
        }
    }

    /// Gives an endpoint no new work from now on, since it said that it is leaving.
    fn leave(&mut self, endpoint: EndpointId, out: &mut Vec<Action>) {
        if self.said_leaving.insert(endpoint) {
            let cause = Cause::Leaving;
            out.push(Action::Log(Decision::Isolate { endpoint, open: false, cause }));
        }
        self.placement.set_open(endpoint, false);
    }

    /// Takes over the platform's list of leaving endpoints. One that is no longer on it has come
    /// back, whatever it said itself.
    pub(crate) fn list_leaving(
        &mut self,
        now: Time,
        leaving: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        let listed: FxHashSet<_> = leaving.iter().copied().collect();
        let back: Vec<_> = self.listed_leaving.difference(&listed).copied().collect();
        let fresh: Vec<_> = listed.difference(&self.listed_leaving).copied().collect();
        self.listed_leaving = listed;
        for endpoint in back {
            self.said_leaving.remove(&endpoint);
            self.reopen(now, endpoint);
        }
        for endpoint in fresh {
            if self.index.endpoints.get(&endpoint).is_some_and(|spot| spot.pool == self.key) {
                let cause = Cause::Leaving;
                out.push(Action::Log(Decision::Isolate { endpoint, open: false, cause }));
            }
            self.placement.set_open(endpoint, false);
        }
    }

    /// Leaves one task's room of an endpoint unused for a while.
    fn hold(&mut self, now: Time, endpoint: EndpointId) {
        if self.is_uniform() && self.placement.take(endpoint, &Resources::SLOT) {
            self.holds.push(Reverse(Hold { until: now + BUSY_HOLD, endpoint }));
        }
    }

    fn conclude(
        &mut self,
        now: Time,
        attempt: Attempt,
        report: Report,
        out: &mut Vec<Action>,
    ) -> Ended {
        let verdict = retry::judge(&report.reply, &attempt.item.job.submission);
        if verdict == Verdict::AgainNotRun {
            attempt.item.job.revert_start();
        }
        let key = key_of(&attempt.item);
        if attempt.item.job.is_closed() {
            self.end(key, &attempt, report.elapsed);
            return Ended::Nothing;
        }
        let elapsed = report.elapsed;
        match (verdict, report.reply) {
            (Verdict::Answer, Reply::Done(output)) => {
                self.end(key, &attempt, elapsed);
                self.learn(&attempt, elapsed);
                Ended::Output(attempt.item.job, attempt.item.index, output)
            }
            (Verdict::AgainNotRun | Verdict::AgainRepeat, reply)
                if self.may_repeat(now, verdict, &attempt.item) =>
            {
                self.repeat(key, attempt, &reply, out);
                Ended::Nothing
            }
            (Verdict::GiveUp(outcome, reason), _) => {
                self.end(key, &attempt, elapsed);
                self.give_up(attempt, outcome, reason, out)
            }
            (_, reply) => {
                let (outcome, reason) = retry::give_up(&reply);
                self.end(key, &attempt, elapsed);
                self.give_up(attempt, outcome, reason, out)
            }
        }
    }

    fn may_repeat(&mut self, now: Time, verdict: Verdict, item: &Item) -> bool {
        if item.attempts >= retry::MAX_ATTEMPTS || now >= item.job.deadline {
            return false;
        }
        match verdict {
            Verdict::AgainRepeat => self.budget.spend(item.job.submission.firm),
            _ => true,
        }
    }

    fn repeat(&mut self, key: Key, attempt: Attempt, reply: &Reply, out: &mut Vec<Action>) {
        let Attempt { mut item, endpoint, .. } = attempt;
        let task = TaskId { submission: item.job.submission.id, index: item.index };
        out.push(Action::Log(Decision::Retry {
            task,
            endpoint,
            attempt: item.attempts,
            again: true,
        }));
        let busy = *reply == Reply::Refused(Refusal::Busy);
        if !busy && !item.avoid.contains(&endpoint) {
            item.avoid.push(endpoint);
        }
        self.put_back(key, item);
    }

    /// Ends a task's part in the queue's accounts.
    fn end(&mut self, key: Key, attempt: &Attempt, elapsed: Span) {
        self.queue.finish(key.firm, key.crew, attempt.item.charged, elapsed);
        self.unload(key.firm, attempt.item.job.number, 1);
    }

    fn learn(&mut self, attempt: &Attempt, elapsed: Span) {
        let key = Self::estimate_key(&attempt.item.job);
        match attempt.measured {
            Some(measured) => self.estimate.observe(key, &attempt.declared, &measured, elapsed),
            None => self.estimate.observe_run_time(key, Span::ZERO, elapsed),
        }
    }

    fn give_up(
        &mut self,
        attempt: Attempt,
        outcome: Outcome,
        reason: Reason,
        out: &mut Vec<Action>,
    ) -> Ended {
        let Attempt { item, endpoint, .. } = attempt;
        let task = TaskId { submission: item.job.submission.id, index: item.index };
        out.push(Action::Log(Decision::Retry {
            task,
            endpoint,
            attempt: item.attempts,
            again: false,
        }));
        let started = self.close(&item.job, out);
        let outcome = match outcome {
            Outcome::NotRun if started => Outcome::MayHaveRun,
            known => known,
        };
        // The answer is final: only what did not run can be tried again, under a new identifier.
        let retry_after = (outcome == Outcome::NotRun).then_some(FAILED_RETRY_AFTER);
        let failure = Failure { outcome, reason, retry_after };
        Ended::Failed(item.job, failure)
    }
}

fn key_of(item: &Item) -> Key {
    let submission = &item.job.submission;
    Key { firm: submission.firm, crew: submission.crew, job: JobKey(item.job.number) }
}
