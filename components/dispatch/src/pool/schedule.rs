//! Takes tasks from the queue and starts attempts on the endpoints chosen by placement.

use super::{Attempt, Pool, QueuedTask};
use crate::{
    Action, Decision,
    action::{Source, Start},
};
use fairness::Key;
use site::{
    id::{AttemptId, EndpointId, TaskId},
    unit::{Resources, Span, Time},
};

/// Maximum number of tasks that one round skips because they fit no endpoint.
const MAX_SKIPPED_TASKS: usize = 8;

/// Number of bits of an attempt identifier below the pool's number.
const SEQUENCE_BITS: u32 = 48;

/// Returns the number of the pool that an attempt belongs to.
pub(crate) fn pool_number(attempt: AttemptId) -> u16 {
    (attempt.0 >> SEQUENCE_BITS) as u16
}

impl Pool {
    /// Runs all scheduling steps: lends what is owed, starts queued tasks, lends what is idle,
    /// requests missing capacity and sends due grants.
    pub(super) fn schedule(&mut self, now: Time, out: &mut Vec<Action>) {
        self.share.expire_requests(now);
        self.lend_owed(now);
        self.place_queued(now, out);
        self.lend_idle(now);
        self.request_capacity(now, out);
        self.flush(now, out);
    }

    fn place_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut skipped = Vec::new();
        while self.placement.total_free().0 > 0 && skipped.len() < MAX_SKIPPED_TASKS {
            let Some((key, item)) = self.queue.pop() else {
                break;
            };
            if item.job.is_closed() {
                self.discard_task(key, &item);
                continue;
            }
            let (declared, _) = self.declared(&item.job, item.index);
            let needs = self.needs(&item.job, &declared);
            match self.choose(now, &item, &needs) {
                Some(endpoint) => self.start(now, key, item, endpoint, needs, declared, out),
                None => skipped.push((key, item)),
            }
            if self.is_uniform() && !skipped.is_empty() {
                break;
            }
        }
        let full = self.placement.total_free().0 == 0 && self.queue.peek().is_some();
        self.has_unplaced = full || !skipped.is_empty();
        for (key, item) in skipped.into_iter().rev() {
            self.requeue(key, item);
        }
    }

    /// Returns a task to the head of its job's queue. Its charge is kept.
    pub(super) fn requeue(&mut self, key: Key, item: QueuedTask) {
        self.queue.finish(key.firm, key.crew, item.charged, item.charged);
        self.queue.push_front(key, item.cost, item);
    }

    fn discard_task(&mut self, key: Key, item: &QueuedTask) {
        self.queue.finish(key.firm, key.crew, item.charged, item.charged);
        self.remove_open_tasks(key.firm, item.job.number, 1);
    }

    /// Chooses a usable endpoint with room for the task and reserves its resources.
    fn choose(&mut self, now: Time, item: &QueuedTask, needs: &Resources) -> Option<EndpointId> {
        if let Some(endpoint) = self.choose_trial(now, item, needs) {
            return Some(endpoint);
        }
        loop {
            let spread = self.running.get(&item.job.number).map(|running| &running.spread);
            let chosen = self.placement.choose(needs, &item.avoid, spread)?;
            if !self.is_endpoint_worthwhile(chosen, item.cost) {
                self.placement.release(chosen, needs);
                return None;
            }
            if self.health.try_acquire(now, chosen) {
                return Some(chosen);
            }
            self.placement.release(chosen, needs);
            self.update_open(now, chosen);
        }
    }

    /// Whether a task is expected to finish sooner on this endpoint than by waiting for a faster
    /// one.
    ///
    /// A slow endpoint is chosen only when no other has room. The wait for a faster one is
    /// estimated as the queued work divided by all the capacity that this entry may use.
    fn is_endpoint_worthwhile(&self, endpoint: EndpointId, run_time: Span) -> bool {
        let Some(factor) = self.slow_factors.get(&endpoint) else {
            return true;
        };
        // When all usable endpoints count as slow, there is no faster one to wait for: either all
        // of them are slow or the estimate is wrong.
        if self.slow_factors.len() >= self.share.usable_by_endpoint.len() {
            return true;
        }
        let loss = run_time.0 as f64 * (f64::from(*factor) - 1.0);
        let queued = self.queue.len() as u64 * run_time.0;
        let wait = queued / u64::from(self.share.held.slots.0.max(1));
        wait as f64 >= loss
    }

    #[expect(clippy::too_many_arguments, reason = "one call site, all of it decided there")]
    fn start(
        &mut self,
        now: Time,
        key: Key,
        mut item: QueuedTask,
        endpoint: EndpointId,
        needs: Resources,
        declared: Resources,
        out: &mut Vec<Action>,
    ) {
        item.attempts = item.attempts.saturating_add(1);
        self.average_needs.observe(&needs);
        if item.attempts == 1 {
            self.budget.earn(key.firm);
        }
        let attempt = self.next_attempt_id();
        let submission = item.job.submission.clone();
        let task = TaskId { submission: submission.id, index: item.index };
        let time_limit = item.job.deadline.since(now);
        out.push(Action::Log(Decision::Place {
            task,
            firm: key.firm,
            endpoint,
            attempt: item.attempts,
            source: self.source(endpoint),
            queued: self.queue.len() as u32,
            candidates: self.placement.total_free().0,
        }));
        let start = Start { attempt, endpoint, task, submission, needs, time_limit };
        out.push(Action::Start(start));
        item.job.start();
        let running = self.running.entry(item.job.number).or_default();
        running.attempts.push(attempt);
        running.spread.add(self.placement.rack(endpoint).unwrap_or_default());
        let record = Attempt { item, endpoint, started: now, needs, declared, measured: None };
        self.attempts.insert(attempt, record);
        self.send_usage(key.firm, out);
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        self.sequence += 1;
        AttemptId((u64::from(self.number) << SEQUENCE_BITS) | self.sequence)
    }

    fn source(&self, endpoint: EndpointId) -> Source {
        match self.share.kept.contains_key(&endpoint) {
            true => Source::Kept,
            false => Source::Lent,
        }
    }
}
