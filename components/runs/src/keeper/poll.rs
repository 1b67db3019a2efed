//! Polls of executors. A poll renews the lease only if the executor is ready, has runs, all of which
//! are owned, and missed no poll; `poll_again` never does. A start extends the lease too.

use super::{Age, Keeper, Lease, OutstandingPoll, Ownership, Phase, State, TrackedRun, log_keep};
use crate::{
    Action,
    action::{Ending, KeepChange, Poll, StopCause},
    clock::RemoteTime,
    executor::{Ended, Listing, Response, RunResult},
    job::Run,
    message::End,
};
use site::{
    id::EndpointId,
    unit::{Resources, Span, Time},
};

/// How long responses count as unreliable after one was lost: the runs of a few executors end
/// during that time.
const LOSS_WINDOW: Span = Span::from_secs(2);

/// A start without a response and not listed is stopped after this many times `start_grace`: one
/// poll is sent after the first, and another one if that gets no response either. Most of the runs
/// whose responses are lost have begun.
const START_TIMEOUT_FACTOR: u64 = 3;

/// Consecutive polls without a response after which an executor is logged as `silent`.
const SILENT_POLLS: u32 = 2;

impl Keeper {
    /// Polls an executor that is not in use yet.
    pub(super) fn begin_polling(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.phase = Phase::Polling;
        lease.poll_at = Some(now);
        log_keep(lease, KeepChange::Look, None, out);
        self.poll(now, id, out);
    }

    /// Sends a poll if one is due and none is outstanding.
    pub(super) fn poll(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let span = self.options.lease;
        let timeout = self.start_grace();
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if lease.outstanding_poll.is_some_and(|poll| poll.until < now) {
            lease.outstanding_poll = None;
            self.response_lost_at = Some(now);
            poll_failed(lease, now, self.options.look_idle, out);
        }
        let due = lease.poll_at.is_some_and(|at| at <= now);
        if !due || lease.outstanding_poll.is_some() {
            return;
        }
        // The lease is not renewed before the listing is known, nor while the executor is
        // unresponsive: otherwise its runs could never be known to have ended.
        let renew =
            lease.phase == Phase::Ready && lease.missed_polls == 0 && !lease.runs.is_empty();
        let deadline = if renew { lease.extend_deadline(now, span) } else { None };
        let is_short =
            lease.phase == Phase::Polling || lease.missed_polls > 0 || lease.runs.is_empty();
        let wait = if is_short { Span::ZERO } else { self.options.look_wait };
        send_poll(now, lease, wait, timeout, deadline, out);
    }

    /// Polls again at once if the response to a long poll may be lost, so that its content is known
    /// within some tens of milliseconds.
    fn poll_again(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let timeout = self.start_grace();
        let in_doubt = self.options.look_again && self.has_recent_loss(now);
        let caution = self.options.caution_percent;
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some(poll) = lease.outstanding_poll.filter(|poll| poll.held) else {
            return;
        };
        // The response is due whether or not a run ends: the start should be listed by now.
        let unanswered =
            |live: &TrackedRun| live.state == State::Starting && live.sent + timeout < now;
        // The run should have ended since the poll was sent.
        let has_ended = |live: &TrackedRun| {
            let end = live.sent + Span(live.estimate.0 * caution / 100) + timeout;
            end < now && poll.sent < end
        };
        let is_needed = |live: &TrackedRun| unanswered(live) || in_doubt && has_ended(live);
        if lease.runs.values().any(is_needed) {
            // Does not renew the lease: if no response arrives, what runs there has to end soon.
            send_poll(now, lease, Span::ZERO, timeout, None, out);
        }
    }

    /// Whether responses of executors were lost recently.
    fn has_recent_loss(&self, now: Time) -> bool {
        self.response_lost_at.is_some_and(|at| now.since(at) < LOSS_WINDOW)
    }

    /// Handles the result of a poll.
    pub(crate) fn polled(
        &mut self,
        now: Time,
        id: EndpointId,
        number: u64,
        reply: Response<Listing>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some(poll) = lease.outstanding_poll.take_if(|poll| poll.number == number) else {
            // It timed out and another poll has been sent. Ends in it are still valid.
            if let Response::Done(listing) = reply
                && lease.compare(listing.incarnation) == Age::Same
            {
                listing.ended.iter().for_each(|ended| self.handle_end(now, id, ended, out));
            }
            return;
        };
        let OutstandingPoll { sent, acknowledged, .. } = poll;
        match reply {
            Response::Done(listing) => {
                lease.confirmed = lease.confirmed.max(acknowledged);
                if lease.missed_polls > 0 {
                    lease.missed_polls = 0;
                    log_keep(lease, KeepChange::Answers, None, out);
                }
                self.confirm_incarnation(now, id, listing.incarnation, out);
                self.apply_listing(now, id, sent, listing, out);
            }
            Response::Fenced => self.fenced(now, id, out),
            Response::Gone => self.executor_gone(now, id, out),
            Response::Silent => {
                self.response_lost_at = Some(now);
                // A poll that failed immediately is not repeated immediately.
                let again = now + self.options.look_retry;
                poll_failed(lease, again, self.options.look_idle, out);
            }
        }
    }

    fn apply_listing(
        &mut self,
        now: Time,
        id: EndpointId,
        sent: Time,
        listing: Listing,
        out: &mut Vec<Action>,
    ) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.read_clock(listing.clock, now);
        }
        for ended in &listing.ended {
            self.handle_end(now, id, ended, out);
        }
        let Some(lease) = self.leases.get_mut(&id) else { return };
        for run in &listing.running {
            match lease.runs.get_mut(run) {
                Some(live) => live.confirm(now),
                None => lease.insert(run.clone(), TrackedRun::unknown(now)),
            }
        }
        if lease.phase == Phase::Polling {
            lease.phase = Phase::Ready;
            lease.tries = 0;
            let unkept = lease.former.take().map(|former| now.since(former.heard));
            log_keep(lease, KeepChange::Ready, unkept, out);
        }
        let listed = |run: &Run| listing.running.contains(run);
        let missing: Vec<_> = lease.runs.keys().filter(|run| !listed(run)).cloned().collect();
        for run in missing {
            self.handle_missing(now, id, sent, &run, out);
        }
        self.plan_poll(now, id);
        self.tick_runs(now, id, out);
    }

    fn handle_end(&mut self, now: Time, id: EndpointId, ended: &Ended, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if ended.number <= lease.acknowledged {
            return;
        }
        lease.acknowledged = ended.number;
        let Some(run) = &ended.run else { return };
        if ended.result == RunResult::Done {
            lease.last_completed = now;
        }
        let end = match ended.result {
            RunResult::Done => End::Done,
            RunResult::Failed => End::Failed,
            RunResult::Stopped | RunResult::Lapsed => End::Lost,
        };
        self.end_run(now, id, run, end, Ending::Listed(ended.result), out);
    }

    /// Decides what to do about a run that is missing from the listing of a poll sent at `sent`.
    fn handle_missing(
        &mut self,
        now: Time,
        id: EndpointId,
        sent: Time,
        run: &Run,
        out: &mut Vec<Action>,
    ) {
        let grace = self.start_grace();
        let Some(lease) = self.leases.get(&id) else { return };
        let Some(live) = lease.runs.get(run) else { return };
        match live.state {
            State::Running { since } if since < sent => self.end_missing(now, id, run, out),
            State::Stopped { since } if since < sent && lease.may_have_run(live) => {
                self.end_missing(now, id, run, out);
            }
            State::Stopped { since } if since < sent => {
                self.end_run(now, id, run, End::NotRun, Ending::Missing, out);
            }
            State::Starting if live.sent + grace < sent => {
                self.stop(now, id, run, StopCause::StartLost, out);
            }
            State::Unconfirmed { since } if since <= sent => {
                self.stop(now, id, run, StopCause::StartLost, out);
            }
            _ => {}
        }
    }

    /// Time after which a start that has got no response and is not listed is stopped.
    pub(super) fn start_grace(&self) -> Span {
        self.options.start_grace + Span(self.usual_start_time.0 * 4)
    }

    /// Schedules the next poll of an executor.
    fn plan_poll(&mut self, now: Time, id: EndpointId) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if lease.outstanding_poll.is_some() {
            return;
        }
        lease.poll_at = match lease.runs.is_empty() {
            false => Some(now),
            true if lease.confirmed < lease.acknowledged => {
                Some(now + self.options.acknowledge_after)
            }
            true => lease.executor.incarnation.map(|_| now + self.options.look_idle),
        };
    }

    /// Does what is due by time on an executor: ends runs, stops runs and sends polls.
    pub(super) fn tick_runs(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let start_timeout = Span(self.start_grace().0 * START_TIMEOUT_FACTOR);
        let Some(lease) = self.leases.get(&id) else { return };
        if lease.missed_polls > 0 && !lease.runs.is_empty() && lease.has_expired(now) {
            return self.lease_expired(now, id, out);
        }
        self.report_stragglers(now, id, out);
        let Some(lease) = self.leases.get(&id) else { return };
        let has_ended = |live: &TrackedRun| match live.state {
            State::Stopped { since } => live.seen.is_none() && since + self.options.stop_time < now,
            _ => false,
        };
        let ended: Vec<_> = lease
            .runs
            .iter()
            .filter(|(_, live)| has_ended(live))
            .map(|(run, _)| run.clone())
            .collect();
        let due_stop = |live: &TrackedRun| match live.state {
            State::StopAgain { at } if at <= now => live.stop,
            State::Starting if live.sent + start_timeout < now => Some(StopCause::StartLost),
            State::Running { .. } if live.task.is_none() => Some(StopCause::Unknown),
            State::Running { .. } => self.time_stop(now, lease, live),
            _ => None,
        };
        let due_stops: Vec<_> = lease
            .runs
            .iter()
            .filter_map(|(run, live)| Some((run.clone(), due_stop(live)?)))
            .collect();
        for run in ended {
            self.end_run(now, id, &run, End::Lost, Ending::Missing, out);
        }
        for (run, why) in due_stops {
            self.stop(now, id, &run, why, out);
        }
        self.poll_again(now, id, out);
        self.poll(now, id, out);
    }

    fn lease_expired(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get(&id) else { return };
        let runs: Vec<_> =
            lease.runs.iter().map(|(run, live)| (run.clone(), live.end_if_lost)).collect();
        for (run, end) in runs {
            self.end_run(now, id, &run, end, Ending::LeaseOver, out);
        }
    }

    /// Another entry holds the executor with a higher token and is now responsible for its runs.
    pub(super) fn fenced(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.tries = lease.tries.saturating_add(1);
        lease.phase = Phase::Fenced { until: now + self.options.fenced_pause };
        lease.poll_at = None;
        log_keep(lease, KeepChange::Fenced, None, out);
        let runs: Vec<_> = lease.runs.keys().cloned().collect();
        for run in runs {
            self.end_run(now, id, &run, End::Unsure, Ending::Fenced, out);
        }
    }

    /// The executor's incarnation has ended, and with it everything that ran there. Runs whose start
    /// has got no response yet are left to that response: the start may have been rejected.
    pub(super) fn executor_gone(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if !lease.gone {
            lease.gone = true;
            log_keep(lease, KeepChange::Gone, None, out);
        }
        let lease = &*lease;
        let runs: Vec<_> = lease
            .runs
            .iter()
            .filter(|(_, live)| live.state != State::Starting)
            .map(|(run, live)| (run.clone(), lease.end_if_gone(now, live)))
            .collect();
        for (run, end) in runs {
            self.end_run(now, id, &run, end, Ending::ExecutorGone, out);
        }
    }
}

/// Sends a poll, replacing an outstanding one.
fn send_poll(
    now: Time,
    lease: &mut Lease,
    wait: Span,
    timeout: Span,
    deadline: Option<RemoteTime>,
    out: &mut Vec<Action>,
) {
    lease.polls += 1;
    lease.poll_at = None;
    lease.outstanding_poll = Some(OutstandingPoll {
        number: lease.polls,
        sent: now,
        until: now + wait + timeout,
        held: wait > Span::ZERO,
        acknowledged: lease.acknowledged,
    });
    out.push(Action::Poll(Poll {
        executor: lease.executor.id,
        number: lease.polls,
        token: lease.token,
        acknowledged: lease.acknowledged,
        deadline,
        wait,
    }));
}

/// Records a poll without a response. The next one is due at `again`; later if nothing runs there
/// and an earlier one failed too.
fn poll_failed(lease: &mut Lease, again: Time, idle: Span, out: &mut Vec<Action>) {
    lease.missed_polls += 1;
    let is_idle = lease.runs.is_empty() && lease.phase == Phase::Ready && lease.missed_polls > 1;
    lease.poll_at = Some(if is_idle { again + idle } else { again });
    if lease.missed_polls == SILENT_POLLS {
        log_keep(lease, KeepChange::Silent, None, out);
    }
}

impl TrackedRun {
    /// A run whose task is unknown here.
    fn unknown(now: Time) -> Self {
        Self {
            task: None,
            needs: Resources::default(),
            estimate: Span::ZERO,
            give_up: now,
            due: None,
            is_demanding: false,
            sent: now,
            state: State::Running { since: now },
            seen: Some(now),
            inherited: true,
            ownership: Ownership::Orphaned,
            stop: None,
            is_straggling: false,
            end_if_lost: End::ExecutorLost,
        }
    }

    pub(super) fn confirm(&mut self, now: Time) {
        self.seen = Some(now);
        self.end_if_lost = End::ExecutorLost;
        if matches!(self.state, State::Starting | State::Unconfirmed { .. }) {
            self.state = State::Running { since: now };
        }
    }
}
