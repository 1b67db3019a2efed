//! Stops of runs, and what the end of a run says about its executor's health.

use super::{Keeper, Ownership, State, TrackedRun};
use crate::{
    Action,
    action::{Decision, Ending, StopCause},
    executor::Response,
    job::{Run, Task},
    message::End,
};
use compact_str::format_compact;
use health::{Attempt, Cause, Change, Observation};
use site::{
    id::{EndpointId, Home},
    unit::Time,
};

impl Keeper {
    /// Gives up tasks whose answers nobody needs.
    pub(crate) fn cancel(&mut self, now: Time, tasks: &[Task], out: &mut Vec<Action>) {
        self.abandon(now, StopCause::Cancelled, |task| tasks.contains(&task), out);
        self.forwarding.cancel(tasks, out);
    }

    /// Gives up the tasks of a home that can't be reached.
    pub(crate) fn home_lost(&mut self, now: Time, home: Home, out: &mut Vec<Action>) {
        self.abandon(now, StopCause::HomeLost, |task| task.job.home == home, out);
    }

    /// Extends no lease for a home until [`Keeper::resume`], and returns its queued tasks.
    pub(crate) fn suspend(&mut self, home: Home) {
        for queued in self.queue.extract(|queued| queued.task.job.home == home) {
            self.ends.push(queued.ended(End::NotRun));
        }
        self.replace_ownership(home, Ownership::Owned, Ownership::Suspended);
    }

    /// Undoes [`Keeper::suspend`].
    pub(crate) fn resume(&mut self, home: Home) {
        self.replace_ownership(home, Ownership::Suspended, Ownership::Owned);
    }

    fn replace_ownership(&mut self, home: Home, from: Ownership, to: Ownership) {
        let runs = self.leases.values_mut().flat_map(|lease| lease.runs.values_mut());
        let is_of_home = |live: &&mut TrackedRun| live.task.is_some_and(|t| t.job.home == home);
        for live in runs.filter(is_of_home).filter(|live| live.ownership == from) {
            live.ownership = to;
        }
    }

    /// Stops what runs for a home that has sent nothing for too long. Tasks that it has not confirmed
    /// have a limit of their own: a home reports rarely to an entry that it does not know as keeper.
    pub(crate) fn home_silent(&mut self, now: Time, home: Home, out: &mut Vec<Action>) {
        let unconfirmed = self.unconfirmed_tasks();
        let is_abandoned = |task: Task| task.job.home == home && !unconfirmed.contains(&task);
        self.abandon(now, StopCause::HomeLost, is_abandoned, out);
    }

    /// Returns queued tasks to their homes and stops the runs of others. Even if the stops are lost,
    /// these end with the lease: it is not extended any more.
    pub(super) fn abandon(
        &mut self,
        now: Time,
        why: StopCause,
        matches: impl Fn(Task) -> bool,
        out: &mut Vec<Action>,
    ) {
        for queued in self.queue.extract(|queued| matches(queued.task)) {
            self.ends.push(queued.ended(End::NotRun));
        }
        let mut runs = Vec::new();
        for (id, lease) in &mut self.leases {
            for (run, live) in &mut lease.runs {
                if !live.task.is_some_and(&matches) {
                    continue;
                }
                live.ownership = Ownership::Orphaned;
                if !live.is_being_stopped() {
                    runs.push((*id, run.clone()));
                }
            }
        }
        for (id, run) in runs {
            self.stop(now, id, &run, why, out);
        }
    }

    /// Sends a stop for a run, unless one is outstanding.
    pub(super) fn stop(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        why: StopCause,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some(live) = lease.runs.get_mut(run) else { return };
        if matches!(live.state, State::Stopping | State::Stopped { .. }) {
            return;
        }
        if live.stop.is_none() {
            live.stop = Some(why);
            out.push(Action::Log(Decision::StopRun {
                run: run.to_string().into(),
                executor: lease.executor.name.clone(),
                why,
            }));
        }
        live.state = State::Stopping;
        out.push(Action::Stop { executor: id, run: run.clone(), token: lease.token });
        if lease.outstanding_poll.is_none() {
            lease.poll_at.get_or_insert(now + self.options.look_retry);
        }
    }

    /// Handles the response to a stop.
    pub(crate) fn stopped(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        reply: Response<()>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        match reply {
            Response::Done(()) => {
                let Some(live) = lease.runs.get_mut(run) else { return };
                live.state = State::Stopped { since: now };
                if lease.outstanding_poll.is_none() {
                    lease.poll_at = Some(now);
                }
            }
            Response::Fenced => self.fenced(now, id, out),
            Response::Gone => self.executor_gone(now, id, out),
            Response::Silent => {
                let Some(live) = lease.runs.get_mut(run) else { return };
                live.state = State::StopAgain { at: now + self.options.look_retry };
            }
        }
    }

    /// Reports the end of a run to the health monitor of its executor.
    pub(super) fn report_health(
        &mut self,
        now: Time,
        id: EndpointId,
        live: &TrackedRun,
        end: End,
        how: Ending,
        out: &mut Vec<Action>,
    ) {
        if live.task.is_none() {
            return;
        }
        let what = match (end, how) {
            (End::Done, _) => {
                Observation::Done { elapsed: now.since(live.sent), expected: live.estimate }
            }
            (End::Failed, _) => Observation::Failed,
            _ if matches!(live.stop, Some(StopCause::Overdue | StopCause::Straggling)) => {
                Observation::TimedOut
            }
            (_, Ending::LeaseOver) => Observation::Lost,
            _ => return self.health.release(id),
        };
        let change = self.health.observe_attempt(now, id, what, live.attempt());
        self.record_health(id, change, out);
    }

    pub(super) fn record_health(&mut self, id: EndpointId, change: Change, out: &mut Vec<Action>) {
        if change == Change::None {
            return;
        }
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if let Change::Slow(factor) = change {
            lease.slowness = factor;
        }
        let executor = lease.executor.name.clone();
        let change = format_compact!("{change:?}");
        let ratio = self.health.ratio(id).map(|bits| (bits * 10.0).round() / 10.0);
        out.push(Action::Log(Decision::Health { executor, change, ratio }));
    }
}

impl TrackedRun {
    /// What health is told of the attempt, besides its outcome.
    pub(super) fn attempt(&self) -> Attempt {
        let cause = self.task.map(|task| Cause(task.job.number ^ task.job.home.incarnation.0));
        Attempt { started: Some(self.sent), cause }
    }
}
