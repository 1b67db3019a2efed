//! Runs that take too long: the limit of a run's time, and stragglers.
//!
//! A straggler is a run that has taken longer than its estimate allows. That alone is no proof
//! against its executor, since some tasks are long wherever they run. Stragglers are evidence for
//! health, and are stopped early only on executors that health doubts.

use super::{Keeper, Lease, State, TrackedRun};
use crate::{
    Action,
    action::{Decision, StopCause},
};
use health::{Observation, State as Health};
use site::{
    id::EndpointId,
    unit::{Span, Time},
};

/// Time allowed for a run, in percent of the expected one. A run of the usual length takes 167% of
/// an estimate that is 40% too low, and tasks of a job vary by 15% on top of that. With 140%, one
/// sound run in seven is a straggler, so that each is weak evidence.
const ALLOWED_PERCENT: u64 = 200;

/// Time allowed for a poll: transit, and the entry's delay in reading the response.
const POLL_TIME: Span = Span::from_millis(10);

impl Keeper {
    /// Reports runs that have become stragglers to health, each once.
    pub(super) fn report_stragglers(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        if !self.options.stragglers {
            return;
        }
        let Some(lease) = self.leases.get(&id) else { return };
        let is_new = |live: &TrackedRun| !live.is_straggling && self.is_straggler(lease, live);
        let new = lease.runs.iter().filter(|(_, live)| is_new(live)).map(|(run, _)| run.clone());
        for run in new.collect::<Vec<_>>() {
            let Some(lease) = self.leases.get_mut(&id) else { return };
            let Some(live) = lease.runs.get_mut(&run) else { continue };
            live.is_straggling = true;
            out.push(Action::Log(Decision::Straggling {
                run: run.to_string().into(),
                executor: lease.executor.name.clone(),
                after: now.since(live.sent),
                estimate: live.estimate,
            }));
            let attempt = live.attempt();
            let change = self.health.observe_attempt(now, id, Observation::Straggling, attempt);
            self.record_health(id, change, out);
        }
    }

    /// Why a run has to be stopped because of the time that it takes; `None` if it may go on.
    pub(super) fn time_stop(
        &self,
        now: Time,
        lease: &Lease,
        live: &TrackedRun,
    ) -> Option<StopCause> {
        if self.is_overdue(lease, live) {
            return Some(StopCause::Overdue);
        }
        let is_stopped_early = live.is_straggling
            && self.is_doubted(lease.executor.id)
            && self.may_run_again(now, live);
        is_stopped_early.then_some(StopCause::Straggling)
    }

    /// Whether the evidence is against an executor, so that others serve a task better: it is
    /// doubtful to health, takes one attempt at a time, or is isolated.
    pub(super) fn is_doubted(&self, id: EndpointId) -> bool {
        let is_doubted = || self.health.is_doubtful(id) || self.health.state(id) != Health::Open;
        self.options.stragglers && is_doubted()
    }

    /// Whether an executor is not doubted or has nothing to run. A doubted one gets one task at a
    /// time, which loses less than its whole room does, and shows whether it works.
    pub(super) fn spares_doubted(&self, lease: &Lease) -> bool {
        lease.runs.is_empty() || !self.is_doubted(lease.executor.id)
    }

    /// Whether a run takes several times its estimate. More is allowed where others have completed
    /// since it began.
    fn is_overdue(&self, lease: &Lease, live: &TrackedRun) -> bool {
        let factor = match lease.last_completed > live.sent {
            true => self.options.overdue_factor_working,
            false => self.options.overdue_factor,
        };
        let limit = Span(self.expected_slowness(lease).run_time(live.estimate).0 * factor);
        live.listed_for() > limit + self.options.overdue_margin
    }

    /// Whether a run of a known task takes longer than its estimate allows.
    fn is_straggler(&self, lease: &Lease, live: &TrackedRun) -> bool {
        matches!(live.state, State::Running { .. })
            && live.task.is_some()
            && live.estimate > Span::ZERO
            && live.listed_for() > self.allowed_time(lease, live)
    }

    /// How long a run may take from its start order until it is listed again.
    fn allowed_time(&self, lease: &Lease, live: &TrackedRun) -> Span {
        let expected = self.expected_slowness(lease).run_time(live.estimate).0;
        // Health knows slow executors whose kind is unknown.
        let expected = expected as f32 * lease.slowness.max(1.0);
        let allowed = Span(expected as u64 * ALLOWED_PERCENT / 100);
        allowed + self.speeds.measured_fixed() + POLL_TIME
    }

    /// Whether another run of the task can end before its caller gives up.
    fn may_run_again(&self, now: Time, live: &TrackedRun) -> bool {
        now + self.options.stop_time + live.estimate <= live.give_up
    }
}

impl TrackedRun {
    /// Time from its start order until its executor last listed it. Later it may have ended.
    fn listed_for(&self) -> Span {
        self.seen.map_or(Span::ZERO, |seen| seen.since(self.sent))
    }
}
