//! Starts: which task goes to which executor, and what its answer means.

use super::{Keeper, Lease, Live, Queued, State};
use crate::{
    Action,
    action::{Decision, Ending, Start},
    executor::{Refusal, Started},
    job::Run,
    message::End,
};
use site::{
    id::EndpointId,
    unit::{Span, Time},
};
use std::cmp::Reverse;

/// How long an executor that says it has no room gets no start. About the time until its next
/// list, which shows what occupies it.
const FULL_PAUSE: Span = Span::from_millis(100);

/// By how much the number of a run rises when the executor knows of a higher one.
const OLD_RUN_STEP: u32 = 50;

/// By how much one start moves their usual time, as a divisor.
const START_TIME_WEIGHT: u64 = 8;

/// Steps in which slowness is told apart, so that small differences leave the choice to room.
const SLOW_STEPS: f32 = 4.0;

impl Keeper {
    /// Starts what there is room for, the most pressing first.
    pub(crate) fn pump(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        for queued in self.queue.drain_sorted(now) {
            if queued.is_too_late(now) {
                self.ends.push(queued.ended(End::NotRun));
                continue;
            }
            match self.choose(now, &queued) {
                Some(executor) => self.start(now, executor, queued, out),
                None if now.since(queued.since) > self.options.queue_hold => {
                    self.ends.push(queued.ended(End::NotRun));
                }
                None => self.queue.push(queued),
            }
        }
    }

    /// The executor for a task: among those with room the fastest, of these the one that is left
    /// with the least.
    fn choose(&self, now: Time, queued: &Queued) -> Option<EndpointId> {
        if self.leases.values().any(|lease| lease.runs.keys().any(|run| queued.is_same_task(run))) {
            return None;
        }
        let suits = |lease: &&Lease| {
            lease.is_usable(now)
                && lease.executor.service == queued.service
                && lease.free().fits(&queued.needs)
                && self.is_open(&lease.executor)
                && !queued.avoid.contains(&lease.executor.id)
                && queued.label.as_ref().is_none_or(|label| lease.executor.labels.contains(label))
                && queued
                    .per_executor
                    .is_none_or(|most| lease.count(queued.task.job) < usize::from(most))
                && now + slowed(queued.estimate, lease.slow) <= queued.give_up
        };
        let rank = |lease: &&Lease| {
            let left = lease.free().minus(&queued.needs);
            ((lease.slow * SLOW_STEPS) as u32, left.cores, left.memory, Reverse(lease.executor.id))
        };
        let best = self.leases.values().filter(suits).min_by_key(rank)?;
        Some(best.executor.id)
    }

    fn start(&mut self, now: Time, id: EndpointId, queued: Queued, out: &mut Vec<Action>) {
        let span = self.options.lease;
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let clock_age = lease.clock.map_or(Span::ZERO, |clock| clock.age(now));
        let Some(deadline) = lease.extend(now, span) else { return };
        self.health.try_acquire(now, id);
        let live = Live {
            task: Some(queued.task),
            needs: queued.needs,
            estimate: queued.estimate,
            give_up: queued.give_up,
            sent: now,
            state: State::Starting,
            seen: None,
            stop: None,
        };
        lease.insert(queued.run.clone(), live);
        out.push(Action::Log(Decision::Start {
            run: queued.run.to_string().into(),
            executor: lease.executor.name.clone(),
            waited: now.since(queued.since),
            clock_age,
        }));
        let Queued { run, spec, .. } = queued;
        let token = lease.token;
        out.push(Action::Start(Start { executor: id, run, spec, deadline, token }));
        if lease.looking.is_none() {
            lease.look_at = Some(now + self.options.start_grace);
        }
    }

    /// Takes the answer to a start in.
    pub(crate) fn started(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        reply: Started,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        match reply {
            Started::Running { clock } => {
                lease.read_clock(clock, now);
                if let Some(live) = lease.runs.get_mut(run) {
                    let took = now.since(live.sent).0;
                    let weight = START_TIME_WEIGHT;
                    self.start_time = Span((self.start_time.0 * (weight - 1) + took) / weight);
                    live.seen = Some(now);
                    if matches!(live.state, State::Starting | State::Unsure { .. }) {
                        live.state = State::Running { since: now };
                    }
                }
            }
            Started::Refused { clock, why } => {
                if let Some(clock) = clock {
                    lease.read_clock(clock, now);
                }
                self.start_refused(now, id, run, why, out);
            }
            Started::Unsent => self.end_run(now, id, run, End::NotRun, Ending::Missing, out),
            Started::Unknown => {
                if let Some(live) = lease.runs.get_mut(run)
                    && live.state == State::Starting
                {
                    live.state = State::Unsure { since: now };
                    lease.look_at.get_or_insert(now);
                }
            }
            Started::Gone => self.executor_gone(now, id, out),
        }
    }

    fn start_refused(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        why: Refusal,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        out.push(Action::Log(Decision::StartRefused {
            run: run.to_string().into(),
            executor: lease.executor.name.clone(),
            why,
        }));
        match why {
            Refusal::Room | Refusal::Late => {
                lease.full_until = now + FULL_PAUSE;
                lease.look_at.get_or_insert(now);
            }
            Refusal::Fenced => return self.fenced(now, id, out),
            Refusal::OldRun => return self.old_run(now, id, run, out),
            Refusal::Unhealthy | Refusal::Invalid => {}
        }
        self.end_run(now, id, run, End::NotRun, Ending::Missing, out);
    }

    /// A run of the task with a higher number was there: its caller's earlier try reached another
    /// entry.
    fn old_run(&mut self, now: Time, id: EndpointId, run: &Run, out: &mut Vec<Action>) {
        let before = self.ends.len();
        self.end_run(now, id, run, End::NotRun, Ending::Missing, out);
        if let Some(ended) = self.ends.get_mut(before) {
            ended.run += OLD_RUN_STEP;
        }
    }
}

/// A span on an executor that takes `factor` times as long as others.
fn slowed(span: Span, factor: f32) -> Span {
    Span((span.0 as f32 * factor) as u64)
}

impl Queued {
    fn is_same_task(&self, run: &Run) -> bool {
        run.index == self.run.index && run.job == self.run.job
    }
}
