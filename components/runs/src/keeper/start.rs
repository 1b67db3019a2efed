//! Starts: chooses executors for queued tasks and handles the responses.

use super::{Keeper, Ownership, Queued, State, TrackedRun, Way, choice::Chosen};
use crate::{
    Action,
    action::{Decision, Ending, Start},
    executor::{Refusal, StartResponse},
    job::Run,
    message::End,
};
use site::{
    id::EndpointId,
    unit::{Span, Time},
};

/// How long an executor that refused a start, or could not be sent one, gets no other. About the
/// time until its next listing, which shows what occupies it.
const START_PAUSE: Span = Span::from_millis(100);

/// Added to the run number when the executor knows a higher one.
const OLD_RUN_STEP: u32 = 50;

/// Divisor of the moving average of start times: the inverse of the weight of one start.
const START_TIME_WEIGHT: u64 = 8;

impl Keeper {
    /// Starts the queued tasks that there is room for, the most urgent first.
    pub(crate) fn start_queued(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        for queued in self.queue.drain_sorted(now) {
            if queued.is_too_late(now) {
                self.ends.push(queued.ended(End::NotRun));
                continue;
            }
            match self.choose_executor(now, &queued) {
                Some(chosen) => self.start(now, chosen, queued, out),
                None => self.queue.push(queued),
            }
        }
    }

    /// Hands back the queued tasks that have waited here for too long.
    pub(crate) fn return_queued(&mut self, now: Time, way: Way) {
        for queued in self.queue.drain() {
            match now.since(queued.since) > self.hold(now, way, &queued) {
                true => self.ends.push(queued.ended(End::NotRun)),
                false => self.queue.push(queued),
            }
        }
    }

    /// Whether another run of a queued task is on an executor kept here.
    pub(super) fn has_other_run(&self, queued: &Queued) -> bool {
        self.leases.values().any(|lease| lease.runs.keys().any(|run| queued.is_same_task(run)))
    }

    fn start(&mut self, now: Time, chosen: Chosen, queued: Queued, out: &mut Vec<Action>) {
        let span = self.options.lease;
        let Chosen { executor: id, kind, outlook, is_demanding } = chosen;
        let ownership = match self.forwarding.is_unconfirmed(queued.task) {
            true => Ownership::Unconfirmed,
            false => Ownership::Owned,
        };
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let clock_age = lease.clock.map_or(Span::ZERO, |clock| clock.age(now));
        let Some(deadline) = lease.start_deadline(now, span, queued.give_up) else { return };
        self.health.try_acquire(now, id);
        let live = TrackedRun {
            task: Some(queued.task),
            needs: queued.needs,
            estimate: queued.estimate,
            give_up: queued.give_up,
            due: outlook.map(|_| queued.due),
            is_demanding,
            sent: now,
            state: State::Starting,
            seen: None,
            inherited: false,
            ownership,
            stop: None,
            is_straggling: false,
            end_if_lost: End::ExecutorLost,
        };
        lease.insert(queued.run.clone(), live);
        out.push(Action::Log(Decision::Start {
            run: queued.run.to_string().into(),
            executor: lease.executor.name.clone(),
            waited: now.since(queued.since),
            clock_age,
            kind,
            outlook,
        }));
        if is_demanding {
            let span = lease.speed.run_time(queued.estimate);
            self.demand.record(now, queued.needs.cores.0, span);
        }
        let Queued { run, spec, .. } = queued;
        let token = lease.token;
        out.push(Action::Start(Start { executor: id, run, spec, deadline, token }));
        if lease.outstanding_poll.is_none() {
            lease.poll_at = Some(now + self.options.start_grace);
        }
    }

    /// Handles the response to a start.
    pub(crate) fn started(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        reply: StartResponse,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        match reply {
            StartResponse::Running { clock } => {
                lease.read_clock(clock, now);
                if let Some(live) = lease.runs.get_mut(run) {
                    let took = now.since(live.sent).0;
                    let weight = START_TIME_WEIGHT;
                    self.usual_start_time =
                        Span((self.usual_start_time.0 * (weight - 1) + took) / weight);
                    live.confirm(now);
                }
                if self.leases.get(&id).is_some_and(|lease| lease.gone) {
                    self.executor_gone(now, id, out);
                }
            }
            StartResponse::Refused { clock, why } => {
                if let Some(clock) = clock {
                    lease.read_clock(clock, now);
                }
                self.start_refused(now, id, run, why, out);
            }
            StartResponse::Unsent => self.start_unsent(now, id, run, out),
            StartResponse::Unknown => {
                if let Some(live) = lease.runs.get_mut(run)
                    && live.state == State::Starting
                {
                    live.state = State::Unconfirmed { since: now };
                    lease.poll_at.get_or_insert(now);
                }
                if lease.gone {
                    self.executor_gone(now, id, out);
                }
            }
            StartResponse::Gone => self.start_rejected(now, id, run, out),
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
            Refusal::Room | Refusal::Late | Refusal::Unhealthy => {
                lease.no_start_before = now + START_PAUSE;
                lease.poll_at.get_or_insert(now);
            }
            Refusal::Fenced => return self.fenced(now, id, out),
            Refusal::OldRun => return self.old_run(now, id, run, out),
            // It is the task that is at fault; other tasks can start there.
            Refusal::Invalid => {}
        }
        self.end_run(now, id, run, End::NotRun, Ending::Refused, out);
    }

    /// The start could not be sent. The executor gets no other before it has responded, or its home
    /// would send the task there again at once.
    fn start_unsent(&mut self, now: Time, id: EndpointId, run: &Run, out: &mut Vec<Action>) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.no_start_before = now + START_PAUSE;
            // An outstanding poll shows whether it responds.
            if lease.outstanding_poll.is_none() {
                lease.missed_polls += 1;
                lease.poll_at = Some(now);
            }
        }
        self.end_run(now, id, run, End::NotRun, Ending::Unsent, out);
    }

    /// Another incarnation rejected the start, so this run never began. Other runs there ended with
    /// the incarnation that they were sent to.
    fn start_rejected(&mut self, now: Time, id: EndpointId, run: &Run, out: &mut Vec<Action>) {
        let tracked = self.leases.get(&id).and_then(|lease| lease.runs.get(run));
        if tracked.is_some_and(|live| live.seen.is_none()) {
            self.end_run(now, id, run, End::NotRun, Ending::Rejected, out);
        }
        self.executor_gone(now, id, out);
    }

    /// A run of the task with a higher number was there: its caller's earlier submission reached
    /// another entry. So the task has run, or may have.
    fn old_run(&mut self, now: Time, id: EndpointId, run: &Run, out: &mut Vec<Action>) {
        let before = self.ends.len();
        self.end_run(now, id, run, End::Lost, Ending::Refused, out);
        if let Some(ended) = self.ends.get_mut(before) {
            ended.run += OLD_RUN_STEP;
        }
    }
}

impl Queued {
    pub(super) fn is_same_task(&self, run: &Run) -> bool {
        run.index == self.run.index && run.job == self.run.job
    }
}
