//! Admission of jobs into a pool, and their end.

use super::{Item, Pool};
use crate::{Action, Decision};
use fairness::{JobKey, Key};
use ledger::Job;
use site::{
    submission::{Failure, Outcome, Reason},
    unit::{Resources, Span, Time},
};
use std::sync::Arc;

/// Most tasks that wait in one pool of one entry.
const MAX_QUEUED: usize = 500_000;

/// Part of the time until its deadline that a job may be expected to take, in percent. The rest is
/// for smaller jobs that come later and go first.
const MARGIN: u64 = 40;

/// Part of the time until its deadline after which a job is to be done, in percent.
const LATEST: u64 = 75;

/// Expected run time of all tasks up to which a job is small.
const SMALL: Span = Span::from_secs(4);

/// Service of its crew that a small job goes before, though others were due earlier.
const HEAD_START: Span = Span::from_secs(5_000);

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Span = Span::from_millis(100);

/// Time after which a caller may come back when no endpoint is usable.
const NO_ENDPOINT_RETRY_AFTER: Span = Span::from_secs(1);

impl Pool {
    /// Queues the tasks of a job, or refuses all of them.
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
        self.push(job, self.slack(now, job, expected));
        self.settle(now, out);
        Ok(())
    }

    /// Work that may be served after the job's admission and before the job without making it
    /// late, at the firm's share of the capacity.
    fn slack(&self, now: Time, job: &Job, expected: Span) -> Span {
        let spare = Span(job.deadline.since(now).0 / 100 * LATEST) - expected;
        let needs = self.needs(job, &self.declared(job, 0).0);
        let parallel = f64::from(self.parallel(&needs));
        let firm = job.submission.firm;
        let own = f64::from(self.index.weight(firm).0);
        let others = self.loads.keys().filter(|other| **other != firm);
        let all = own + others.map(|other| f64::from(self.index.weight(*other).0)).sum::<f64>();
        Span((spare.0 as f64 * parallel * own / all) as u64)
    }

    fn push(&mut self, job: &Arc<Job>, slack: Span) {
        let submission = &job.submission;
        let patience = Span(slack.0 / submission.tasks.len() as u64);
        let key = Key { firm: submission.firm, crew: submission.crew, job: JobKey(job.number) };
        for index in 0..submission.tasks.len() as u16 {
            let (_, hint) = self.declared(job, index);
            let cost = self.estimate.run_time(Self::estimate_key(job), hint);
            let item = Item {
                job: job.clone(),
                index,
                attempts: 0,
                cost,
                charged: cost,
                avoid: Vec::new(),
            };
            self.queue.push_with_max_overtake(key, cost, patience, item);
        }
        if self.work(job) <= SMALL {
            self.queue.boost(JobKey(job.number), HEAD_START);
        }
        self.load(submission.firm, job.number, submission.tasks.len() as u32);
    }

    /// Expected time until the job's answer, or why it is refused.
    fn admit(&self, now: Time, job: &Job) -> Result<Span, Failure> {
        let needs = self.check_size(job)?;
        let tasks = job.submission.tasks.len();
        if self.queue.len() + tasks > MAX_QUEUED {
            return Err(refusal(Reason::Overload, Some(NO_ENDPOINT_RETRY_AFTER)));
        }
        let parallel = self.parallel(&needs);
        if parallel == 0 {
            return Err(refusal(Reason::NoEndpoint, Some(NO_ENDPOINT_RETRY_AFTER)));
        }
        let expected = self.expected(job, parallel);
        let left = Span(job.deadline.since(now).0 / 100 * MARGIN);
        if expected > left {
            let wait = (expected - left).max(MIN_RETRY_AFTER);
            return Err(refusal(Reason::Overload, Some(wait)));
        }
        Ok(expected)
    }

    /// The needs of the job's largest task, if some endpoint could hold each of them.
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
                return Err(refusal(Reason::Impossible, None));
            }
            largest = largest.max(&needs);
        }
        Ok(largest)
    }

    /// The work served before the job and its own, divided by the tasks that run at one time,
    /// and the run time of its last task.
    fn expected(&self, job: &Job, parallel: u32) -> Span {
        let run_time = self.run_time(job);
        let tasks = job.submission.tasks.len() as u64;
        let free = u64::from(self.placement.total_free().0);
        if self.is_uniform() && self.queue.is_empty() && free >= tasks {
            return run_time;
        }
        let work = self.queue.work_until_done(job.submission.firm, self.work(job));
        Span(work.0 / u64::from(parallel)) + run_time
    }

    /// Expected run time of the job's first task.
    fn run_time(&self, job: &Job) -> Span {
        let (_, hint) = self.declared(job, 0);
        self.estimate.run_time(Self::estimate_key(job), hint)
    }

    /// Expected run time of all tasks of a job, each taken as the first.
    fn work(&self, job: &Job) -> Span {
        Span(self.run_time(job).0.saturating_mul(job.submission.tasks.len() as u64))
    }

    /// Tasks that this entry can expect to run at one time.
    fn parallel(&self, needs: &Resources) -> u32 {
        let needs = &self.typical.needs(needs);
        let held = self.share.held.max_tasks(needs);
        let local = self.share.local.max_tasks(needs);
        let expected = match self.share.heard.is_empty() {
            true => held + local.saturating_sub(held) / 2,
            false => held.max(self.target(needs)),
        };
        // What is lent comes back.
        expected.max(local.min(1))
    }

    /// Forbids further starts of a job, ends what can be ended, and tells whether any of its
    /// tasks may have run.
    pub(crate) fn close(&mut self, job: &Job, out: &mut Vec<Action>) -> bool {
        let started = job.close();
        let dropped = self.queue.cancel_job(JobKey(job.number));
        self.unload(job.submission.firm, job.number, dropped as u32);
        let running = self.running.get(&job.number);
        for attempt in running.into_iter().flat_map(|running| &running.attempts) {
            let endpoint = self.attempts[attempt].endpoint;
            out.push(Action::Stop { attempt: *attempt, endpoint });
        }
        started
    }
}

/// A refusal of something that has not run and will not.
fn refusal(reason: Reason, retry_after: Option<Span>) -> Failure {
    Failure { outcome: Outcome::NotRun, reason, retry_after }
}
