//! Handles the reports of ended attempts: health, placement, retries and the effect on the
//! submission.

use super::{Attempt, Effect, Hold, Pool, QueuedTask, observation};
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

/// Time for which a slot stays unused after its endpoint refused a task as busy.
const BUSY_HOLD: Span = Span::from_millis(50);

/// Retry delay sent to a caller when no endpoint accepted its task.
const FAILED_RETRY_AFTER: Span = Span::from_millis(500);

impl Pool {
    /// Handles the report of an ended attempt.
    pub(crate) fn report(&mut self, now: Time, report: Report, out: &mut Vec<Action>) -> Effect {
        let Some(attempt) = self.attempts.remove(&report.attempt) else {
            return Effect::None;
        };
        self.forget_running(report.attempt, &attempt);
        let firm = attempt.item.job.submission.firm;
        self.placement.release(attempt.endpoint, &attempt.needs);
        self.observe_health(now, &attempt, &report, out);
        let effect = self.conclude(now, attempt, report, out);
        self.send_usage(firm, out);
        self.schedule(now, out);
        effect
    }

    /// Records the resources that a worker measured for a running attempt.
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

    fn observe_health(
        &mut self,
        now: Time,
        attempt: &Attempt,
        report: &Report,
        out: &mut Vec<Action>,
    ) {
        let endpoint = attempt.endpoint;
        let observed = observation(&report.reply, report.elapsed, attempt.item.cost);
        let details = health::Attempt {
            started: Some(attempt.started),
            cause: Some(health::Cause(attempt.item.job.number)),
        };
        let change = self.health.observe_attempt(now, endpoint, observed, details);
        self.apply_health(now, endpoint, change, out);
        self.update_open(now, endpoint);
        if report.leaving || report.reply == Reply::Refused(Refusal::Leaving) {
            self.mark_leaving(endpoint, out);
        }
        if report.reply == Reply::Refused(Refusal::Busy) {
            self.hold_slot(now, endpoint);
        }
    }

    /// Stops giving new work to an endpoint that reported that it is leaving.
    fn mark_leaving(&mut self, endpoint: EndpointId, out: &mut Vec<Action>) {
        if self.reported_leaving.insert(endpoint) {
            let cause = Cause::Leaving;
            out.push(Action::Log(Decision::Isolate { endpoint, open: false, cause }));
        }
        self.placement.set_open(endpoint, false);
    }

    /// Applies the platform's list of leaving endpoints. An endpoint that is no longer on the list
    /// is used again, even if it had reported itself as leaving.
    pub(crate) fn list_leaving(
        &mut self,
        now: Time,
        leaving: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        let listed: FxHashSet<_> = leaving.iter().copied().collect();
        let removed: Vec<_> = self.listed_leaving.difference(&listed).copied().collect();
        let added: Vec<_> = listed.difference(&self.listed_leaving).copied().collect();
        self.listed_leaving = listed;
        for endpoint in removed {
            self.reported_leaving.remove(&endpoint);
            self.update_open(now, endpoint);
        }
        for endpoint in added {
            if self.index.endpoints.get(&endpoint).is_some_and(|resolved| resolved.pool == self.key)
            {
                let cause = Cause::Leaving;
                out.push(Action::Log(Decision::Isolate { endpoint, open: false, cause }));
            }
            self.placement.set_open(endpoint, false);
        }
    }

    /// Leaves one slot of an endpoint unused for [`BUSY_HOLD`].
    fn hold_slot(&mut self, now: Time, endpoint: EndpointId) {
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
    ) -> Effect {
        let verdict = retry::judge(&report.reply, &attempt.item.job.submission);
        if verdict == Verdict::RetryNotRun {
            attempt.item.job.revert_start();
        }
        let key = key_of(&attempt.item);
        if attempt.item.job.is_closed() {
            self.finish_task(key, &attempt, report.elapsed);
            return Effect::None;
        }
        let elapsed = report.elapsed;
        match (verdict, report.reply) {
            (Verdict::Answer, Reply::Done(output)) => {
                self.finish_task(key, &attempt, elapsed);
                self.update_estimate(&attempt, elapsed);
                Effect::Output(attempt.item.job, attempt.item.index, output)
            }
            (Verdict::RetryNotRun | Verdict::RetryRepeatable, reply)
                if self.may_retry(now, verdict, &attempt.item) =>
            {
                self.retry(key, attempt, &reply, out);
                Effect::None
            }
            (Verdict::GiveUp(outcome, reason), _) => {
                self.finish_task(key, &attempt, elapsed);
                self.give_up(attempt, outcome, reason, out)
            }
            (_, reply) => {
                let (outcome, reason) = retry::give_up(&reply);
                self.finish_task(key, &attempt, elapsed);
                self.give_up(attempt, outcome, reason, out)
            }
        }
    }

    /// Returns whether another attempt follows. An attempt that did not run ends a job only if
    /// nothing of the job has run: such a job can be submitted again, any other would be lost.
    fn may_retry(&mut self, now: Time, verdict: Verdict, item: &QueuedTask) -> bool {
        if now >= item.job.deadline {
            return false;
        }
        let has_attempts_left = item.attempts < retry::MAX_ATTEMPTS;
        match verdict {
            Verdict::RetryNotRun => has_attempts_left || item.job.is_started(),
            _ => has_attempts_left && self.budget.spend(item.job.submission.firm),
        }
    }

    fn retry(&mut self, key: Key, attempt: Attempt, reply: &Reply, out: &mut Vec<Action>) {
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
        self.requeue(key, item);
    }

    /// Removes a task that has ended from the queue's accounts.
    fn finish_task(&mut self, key: Key, attempt: &Attempt, elapsed: Span) {
        self.queue.finish(key.firm, key.crew, attempt.item.charged, elapsed);
        self.remove_open_tasks(key.firm, attempt.item.job.number, 1);
    }

    fn update_estimate(&mut self, attempt: &Attempt, elapsed: Span) {
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
    ) -> Effect {
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
        // The answer is final: only a job that did not run can be submitted again, under a new
        // identifier.
        let retry_after = (outcome == Outcome::NotRun).then_some(FAILED_RETRY_AFTER);
        let failure = Failure { outcome, reason, retry_after };
        Effect::Failed(item.job, failure)
    }
}

fn key_of(item: &QueuedTask) -> Key {
    let submission = &item.job.submission;
    Key { firm: submission.firm, crew: submission.crew, job: JobKey(item.job.number) }
}
