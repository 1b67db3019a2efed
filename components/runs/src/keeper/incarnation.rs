//! Executors that start a new incarnation under the same name.
//!
//! A new incarnation has no memory of the previous one: its clock and its sequence of ends start
//! again, and nothing runs. It is detected by the start time in the executor's listing or
//! registration, whichever arrives first.

use super::{Keeper, Lease, Phase, TrackedRun, log_keep};
use crate::{
    Action, Executor,
    action::{Ending, KeepChange},
    executor::Incarnation,
    job::Run,
    message::End,
};
use site::{
    id::EndpointId,
    unit::{Span, Time},
};
use std::cmp::Ordering;

/// How a reported incarnation compares with the known one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Age {
    /// The same, or incarnations can't be distinguished.
    Same,
    /// A later one.
    Newer,
    /// An earlier one, from a message that arrived out of order.
    Older,
}

impl Lease {
    /// Compares a reported incarnation with the known one.
    pub(super) fn compare(&self, reported: Option<Incarnation>) -> Age {
        let (Some(reported), Some(known)) = (reported, self.executor.incarnation) else {
            return Age::Same;
        };
        match reported.cmp(&known) {
            Ordering::Equal => Age::Same,
            Ordering::Greater => Age::Newer,
            Ordering::Less => Age::Older,
        }
    }

    /// Whether a run that is not listed may have run. Its end may have been lost with its
    /// incarnation, or handled by a former keeper.
    pub(super) fn may_have_run(&self, live: &TrackedRun) -> bool {
        live.seen.is_some() || live.inherited || self.has_restarted_under(live)
    }

    /// Whether a run was sent, and last confirmed, before the current incarnation was known.
    fn has_restarted_under(&self, live: &TrackedRun) -> bool {
        live.seen.unwrap_or(live.sent) < self.incarnation_since
    }

    /// Applies a registration that shows a new incarnation: the executor is polled before its next
    /// use, and its listing decides about earlier runs.
    pub(super) fn restart(
        &mut self,
        now: Time,
        lease: Span,
        registered: Executor,
        out: &mut Vec<Action>,
    ) {
        self.begin_incarnation(now, registered.incarnation, out);
        // The registration may be outdated, and the runs may go on.
        self.inherit(now, lease);
        self.executor = registered;
        self.poll_before_use(now);
    }

    /// Drops what was learnt at a former address or from a former incarnation: the executor is
    /// polled before its next use, and an outstanding response is ignored.
    pub(super) fn poll_before_use(&mut self, now: Time) {
        self.gone = false;
        if self.is_in_use() {
            self.phase = Phase::Polling;
            self.outstanding_poll = None;
            self.poll_at = Some(now);
        }
    }

    /// Records a new incarnation. Resets `gone`, the clock, the lease deadline, the numbers of handled
    /// ends, the missed polls and `no_start_before`. The token, `tries`, `inherited_until`, slowness,
    /// health, `last_completed` and the runs stay: the next listing decides about the runs.
    fn begin_incarnation(
        &mut self,
        now: Time,
        incarnation: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let ends: Vec<_> = self.runs.values().map(|live| self.end_if_gone(now, live)).collect();
        for (live, end) in self.runs.values_mut().zip(ends) {
            live.end_if_lost = end;
        }
        self.executor.incarnation = incarnation;
        self.incarnation_since = now;
        self.gone = false;
        self.clock = None;
        self.deadline = 0;
        self.acknowledged = 0;
        self.confirmed = 0;
        self.missed_polls = 0;
        self.no_start_before = Time(0);
        log_keep(self, KeepChange::Reborn, None, out);
    }
}

impl Keeper {
    /// Applies the incarnation that responded to the latest poll. It is the current one whatever
    /// its start time: the wall clock of its machine may have been set back.
    pub(super) fn confirm_incarnation(
        &mut self,
        now: Time,
        id: EndpointId,
        reported: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        match lease.compare(reported) {
            Age::Same => lease.executor.incarnation = lease.executor.incarnation.or(reported),
            Age::Newer | Age::Older => lease.begin_incarnation(now, reported, out),
        }
    }

    /// Ends a run when the executor lists neither it nor its end.
    pub(super) fn end_missing(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get(&id) else { return };
        let Some(live) = lease.runs.get(run) else { return };
        match lease.has_restarted_under(live) {
            true => self.end_run(now, id, run, live.end_if_lost, Ending::ExecutorGone, out),
            false => self.end_run(now, id, run, End::Lost, Ending::Missing, out),
        }
    }
}
