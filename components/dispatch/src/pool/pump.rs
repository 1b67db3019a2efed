//! Takes tasks from the queue and places them.

use super::{Attempt, Item, Pool};
use crate::{
    Action, Decision,
    action::{Source, Start},
};
use fairness::Key;
use site::{
    id::{AttemptId, EndpointId, TaskId},
    unit::{Resources, Span, Time},
};

/// Tasks that one round passes over since no endpoint has room for them.
const MAX_SKIPPED: usize = 8;

/// Bits of an attempt identifier below the pool's number.
const SEQUENCE_BITS: u32 = 48;

/// The number of the pool that an attempt belongs to.
pub(crate) fn pool_number(attempt: AttemptId) -> u16 {
    (attempt.0 >> SEQUENCE_BITS) as u16
}

impl Pool {
    /// Does all that became possible: serves others what is owed, starts tasks, offers what is
    /// idle, and asks for what is missing.
    pub(super) fn settle(&mut self, now: Time, out: &mut Vec<Action>) {
        self.share.forget(now);
        self.pay(now);
        self.pump(now, out);
        self.offer(now);
        self.wish(now, out);
        self.flush(now, out);
    }

    fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut skipped = Vec::new();
        while self.placement.total_free().0 > 0 && skipped.len() < MAX_SKIPPED {
            let Some((key, item)) = self.queue.pop() else {
                break;
            };
            if item.job.is_closed() {
                self.forget_item(key, &item);
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
        self.starved = full || !skipped.is_empty();
        for (key, item) in skipped.into_iter().rev() {
            self.put_back(key, item);
        }
    }

    /// Returns a task to the head of its job's queue; what it was charged stays charged.
    pub(super) fn put_back(&mut self, key: Key, item: Item) {
        self.queue.finish(key.firm, key.crew, item.charged, item.charged);
        self.queue.push_front(key, item.cost, item);
    }

    fn forget_item(&mut self, key: Key, item: &Item) {
        self.queue.finish(key.firm, key.crew, item.charged, item.charged);
        self.unload(key.firm, item.job.number, 1);
    }

    /// An endpoint with room that may be used now, its resources taken.
    fn choose(&mut self, now: Time, item: &Item, needs: &Resources) -> Option<EndpointId> {
        if let Some(endpoint) = self.choose_trial(now, item, needs) {
            return Some(endpoint);
        }
        loop {
            let spread = self.running.get(&item.job.number).map(|running| &running.spread);
            let chosen = self.placement.choose(needs, &item.avoid, spread)?;
            if !self.is_worth_it(chosen, item.cost) {
                self.placement.release(chosen, needs);
                return None;
            }
            if self.health.try_acquire(now, chosen) {
                return Some(chosen);
            }
            self.placement.release(chosen, needs);
            self.reopen(now, chosen);
        }
    }

    /// Whether a task is done sooner on this endpoint than by waiting for a faster one.
    ///
    /// A slow endpoint is chosen only when no other has room. The wait for another is estimated by
    /// the work that is queued, spread over all that this entry may use.
    fn is_worth_it(&self, endpoint: EndpointId, run_time: Span) -> bool {
        let Some(factor) = self.slow.get(&endpoint) else {
            return true;
        };
        // Nothing faster would come: all of them, or the estimate, are off.
        if self.slow.len() >= self.share.counted.len() {
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
        mut item: Item,
        endpoint: EndpointId,
        needs: Resources,
        declared: Resources,
        out: &mut Vec<Action>,
    ) {
        item.attempts += 1;
        self.typical.observe(&needs);
        if item.attempts == 1 {
            self.budget.earn(key.firm);
        }
        let attempt = self.next_attempt();
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
        self.tell_usage(key.firm, out);
    }

    fn next_attempt(&mut self) -> AttemptId {
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
