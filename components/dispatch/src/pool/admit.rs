//! Admits jobs to a pool, or rejects them, and closes them.

use super::{Pool, QueuedTask};
use crate::{Action, Decision};
use fairness::{JobKey, Key};
use ledger::Job;
use site::{
    submission::{Failure, Outcome, Reason},
    unit::{Resources, Span, Time},
};
use std::sync::Arc;

/// Maximum number of tasks queued in one pool of one entry.
const MAX_QUEUED_TASKS: usize = 500_000;

/// Maximum expected time of a job at admission, in percent of the time until its deadline. The rest
/// is left for smaller jobs that arrive later and are served before it.
const MAX_EXPECTED_PERCENT: u64 = 40;

/// Time by which a job should be done, in percent of the time until its deadline.
const COMPLETION_PERCENT: u64 = 75;

/// Maximum expected run time of all tasks of a job that counts as small.
const SMALL_JOB_WORK: Span = Span::from_secs(4);

/// Amount of its crew's service by which a small job is moved forward in the queue, past jobs that
/// were due earlier.
const SMALL_JOB_HEAD_START: Span = Span::from_secs(5_000);

/// Minimum retry delay sent to a rejected caller.
const MIN_RETRY_AFTER: Span = Span::from_millis(100);

/// Retry delay sent to a caller when no endpoint is usable.
const NO_ENDPOINT_RETRY_AFTER: Span = Span::from_secs(1);

impl Pool {
    /// Queues the tasks of a job, or rejects the job as a whole.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        job: &Arc<Job>,
        out: &mut Vec<Action>,
    ) -> Result<(), Failure> {
        if job.is_closed() {
            return Ok(());
        }
        let expected = self.admit(now, job)?;
        let submission = &job.submission;
        out.push(Action::Log(Decision::Admit {
            id: submission.id,
            firm: submission.firm,
            service: submission.service,
            tasks: submission.tasks.len() as u16,
            expected,
            queued: self.queue.len() as u32,
        }));
        self.enqueue(job, self.slack(now, job, expected));
        self.schedule(now, out);
        Ok(())
    }

    /// Returns the work, at the firm's share of the capacity, that may be served between the job's
    /// admission and its start without making it late.
    fn slack(&self, now: Time, job: &Job, expected: Span) -> Span {
        let spare = Span(job.deadline.since(now).0 / 100 * COMPLETION_PERCENT) - expected;
        let needs = self.needs(job, &self.declared(job, 0).0);
        let parallel = f64::from(self.parallelism(&needs));
        let firm = job.submission.firm;
        let own = f64::from(self.index.weight(firm).0);
        let others = self.open_tasks.keys().filter(|other| **other != firm);
        let all = own + others.map(|other| f64::from(self.index.weight(*other).0)).sum::<f64>();
        Span((spare.0 as f64 * parallel * own / all) as u64)
    }

    fn enqueue(&mut self, job: &Arc<Job>, slack: Span) {
        let submission = &job.submission;
        let slack_per_task = Span(slack.0 / submission.tasks.len() as u64);
        let key = Key { firm: submission.firm, crew: submission.crew, job: JobKey(job.number) };
        for index in 0..submission.tasks.len() as u16 {
            let (_, hint) = self.declared(job, index);
            let cost = self.estimate.run_time(Self::estimate_key(job), hint);
            let item = QueuedTask {
                job: job.clone(),
                index,
                attempts: 0,
                cost,
                charged: cost,
                avoid: Vec::new(),
            };
            self.queue.push_with_max_overtake(key, cost, slack_per_task, item);
        }
        if self.expected_work(job) <= SMALL_JOB_WORK {
            self.queue.boost(JobKey(job.number), SMALL_JOB_HEAD_START);
        }
        self.add_open_tasks(submission.firm, job.number, submission.tasks.len() as u32);
    }

    /// Returns the expected time until the job's answer, or the reason why it is rejected.
    fn admit(&self, now: Time, job: &Job) -> Result<Span, Failure> {
        let needs = self.check_size(job)?;
        let tasks = job.submission.tasks.len();
        if self.queue.len() + tasks > MAX_QUEUED_TASKS {
            return Err(rejection(Reason::Overload, Some(NO_ENDPOINT_RETRY_AFTER)));
        }
        let parallel = self.parallelism(&needs);
        if parallel == 0 {
            return Err(rejection(Reason::NoEndpoint, Some(NO_ENDPOINT_RETRY_AFTER)));
        }
        let expected = self.expected_time(job, parallel);
        let left = Span(job.deadline.since(now).0 / 100 * MAX_EXPECTED_PERCENT);
        if expected > left {
            let wait = (expected - left).max(MIN_RETRY_AFTER);
            return Err(rejection(Reason::Overload, Some(wait)));
        }
        Ok(expected)
    }

    /// Returns the needs of the job's largest task, or an error when some task fits no endpoint.
    fn check_size(&self, job: &Job) -> Result<Resources, Failure> {
        let mut largest = Resources::default();
        let mut checked = None;
        for index in 0..job.submission.tasks.len() as u16 {
            let (declared, _) = self.declared(job, index);
            if checked == Some(declared) {
                continue;
            }
            checked = Some(declared);
            let needs = self.needs(job, &declared);
            if !self.index.could_fit(self.key, &needs) {
                return Err(rejection(Reason::Impossible, None));
            }
            largest = largest.max(&needs);
        }
        Ok(largest)
    }

    /// Returns the expected time until the job is done: the work served before it and its own,
    /// divided by the number of tasks that run at one time, plus the run time of its last task.
    fn expected_time(&self, job: &Job, parallel: u32) -> Span {
        let run_time = self.run_time(job);
        let tasks = job.submission.tasks.len() as u64;
        let free = u64::from(self.placement.total_free().0);
        if self.is_uniform() && self.queue.is_empty() && free >= tasks {
            return run_time;
        }
        let work = self.queue.work_until_done(job.submission.firm, self.expected_work(job));
        Span(work.0 / u64::from(parallel)) + run_time
    }

    /// Returns the expected run time of the job's first task.
    fn run_time(&self, job: &Job) -> Span {
        let (_, hint) = self.declared(job, 0);
        self.estimate.run_time(Self::estimate_key(job), hint)
    }

    /// Returns the expected run time of all tasks of a job, assuming that each takes as long as the
    /// first.
    fn expected_work(&self, job: &Job) -> Span {
        Span(self.run_time(job).0.saturating_mul(job.submission.tasks.len() as u64))
    }

    /// Returns the number of tasks that this entry can expect to run at one time.
    fn parallelism(&self, needs: &Resources) -> u32 {
        let needs = &self.average_needs.needs(needs);
        let held = self.share.held.max_tasks(needs);
        let local = self.share.local.max_tasks(needs);
        let expected = match self.share.peer_requests.is_empty() {
            true => held + local.saturating_sub(held) / 2,
            false => held.max(self.target(needs)),
        };
        // Lent capacity is returned, so at least one task is expected to run if the whole capacity
        // of the cluster can hold one.
        expected.max(local.min(1))
    }

    /// Prevents further starts of a job, removes its queued tasks and stops its running attempts.
    /// Returns whether any of its tasks may have run.
    pub(crate) fn close(&mut self, job: &Job, out: &mut Vec<Action>) -> bool {
        let started = job.close();
        let dropped = self.queue.cancel_job(JobKey(job.number));
        self.remove_open_tasks(job.submission.firm, job.number, dropped as u32);
        let running = self.running.get(&job.number);
        for attempt in running.into_iter().flat_map(|running| &running.attempts) {
            let endpoint = self.attempts[attempt].endpoint;
            out.push(Action::Stop { attempt: *attempt, endpoint });
        }
        started
    }
}

/// Returns the failure of a job of which nothing has run or will run.
fn rejection(reason: Reason, retry_after: Option<Span>) -> Failure {
    Failure { outcome: Outcome::NotRun, reason, retry_after }
}
