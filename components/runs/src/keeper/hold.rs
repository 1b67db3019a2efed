//! Looks: an executor's lists, and its lease.

use super::{Keeper, Lease, Life, Live, Looking, Phase, State, log_keep};
use crate::{
    Action,
    action::{Ending, KeepChange, Look, StopCause},
    clock::Remote,
    executor::{Answered, Ended, How, Lists},
    job::Run,
    message::End,
};
use site::{
    id::EndpointId,
    unit::{Resources, Span, Time},
};

/// For how long answers may go missing after one did: the runs of a few executors end meanwhile.
const DOUBT: Span = Span::from_secs(2);

/// A start that was neither answered nor listed is stopped after so many times the time in which its
/// answer is due: a look is sent after one, and another one if that is not answered either. Most of the
/// runs whose answers are lost have begun.
const UNHEARD: u64 = 3;

/// Looks in a row without an answer after which an executor counts as silent in the log.
const SILENT_LOOKS: u32 = 2;

impl Keeper {
    /// Asks for the lists of an executor that is not in use yet.
    pub(super) fn begin_look(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.phase = Phase::Looking;
        lease.look_at = Some(now);
        log_keep(lease, KeepChange::Look, out);
        self.look(now, id, out);
    }

    /// Sends a look if one is due and none is on its way.
    pub(super) fn look(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let span = self.options.lease;
        let patience = self.start_grace();
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if lease.looking.is_some_and(|looking| looking.until < now) {
            lease.looking = None;
            self.missing_at = Some(now);
            look_failed(lease, now, self.options.look_idle, out);
        }
        let due = lease.look_at.is_some_and(|at| at <= now);
        if !due || lease.looking.is_some() {
            return;
        }
        // Before its lists are known, the lease of what runs there is not prolonged; nor while it
        // does not answer, or its runs would never be known to be over.
        let renew = lease.phase == Phase::Ready && lease.silent == 0 && !lease.runs.is_empty();
        let deadline = if renew { lease.extend(now, span) } else { None };
        let quick = lease.phase == Phase::Looking || lease.silent > 0 || lease.runs.is_empty();
        let wait = if quick { Span::ZERO } else { self.options.look_wait };
        send_look(now, lease, wait, patience, deadline, out);
    }

    /// Asks for the lists at once if the answer to a look that is held back may be missing, so that
    /// what it would have said is known within some tens of milliseconds.
    fn look_again(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let patience = self.start_grace();
        let in_doubt = self.options.look_again && self.is_in_doubt(now);
        let caution = self.options.caution_percent;
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some(looking) = lease.looking.filter(|looking| looking.held) else { return };
        // Such an answer is due whatever the runs there do: the start should be in the lists by now.
        let unanswered = |live: &Live| live.state == State::Starting && live.sent + patience < now;
        // The run should have ended since the look was sent.
        let has_ended = |live: &Live| {
            let end = live.sent + Span(live.estimate.0 * caution / 100) + patience;
            end < now && looking.sent < end
        };
        let is_needed = |live: &Live| unanswered(live) || in_doubt && has_ended(live);
        if lease.runs.values().any(is_needed) {
            // Prolongs no lease: if nothing is heard, what runs there has to be over soon.
            send_look(now, lease, Span::ZERO, patience, None, out);
        }
    }

    /// Whether answers of executors went missing lately.
    fn is_in_doubt(&self, now: Time) -> bool {
        self.missing_at.is_some_and(|at| now.since(at) < DOUBT)
    }

    /// Takes the answer to a look in.
    pub(crate) fn looked(
        &mut self,
        now: Time,
        id: EndpointId,
        number: u64,
        reply: Answered<Lists>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some(looking) = lease.looking.take_if(|looking| looking.number == number) else {
            // Its time is over and another look has been sent. Ends stay true.
            if let Answered::Done(lists) = reply
                && lease.life(lists.born) == Life::Known
            {
                lists.ended.iter().for_each(|ended| self.take_end(now, id, ended, out));
            }
            return;
        };
        let Looking { sent, acknowledged, .. } = looking;
        match reply {
            Answered::Done(lists) => {
                lease.confirmed = lease.confirmed.max(acknowledged);
                if lease.silent > 0 {
                    lease.silent = 0;
                    log_keep(lease, KeepChange::Answers, out);
                }
                self.meet(now, id, lists.born, out);
                self.take_lists(now, id, sent, lists, out);
            }
            Answered::Fenced => self.fenced(now, id, out),
            Answered::Gone => self.executor_gone(now, id, out),
            Answered::Silent => {
                self.missing_at = Some(now);
                // An answer that failed at once is not asked for at once again.
                let again = now + self.options.look_retry;
                look_failed(lease, again, self.options.look_idle, out);
            }
        }
    }

    fn take_lists(
        &mut self,
        now: Time,
        id: EndpointId,
        sent: Time,
        lists: Lists,
        out: &mut Vec<Action>,
    ) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.read_clock(lists.clock, now);
        }
        for ended in &lists.ended {
            self.take_end(now, id, ended, out);
        }
        let Some(lease) = self.leases.get_mut(&id) else { return };
        for run in &lists.running {
            match lease.runs.get_mut(run) {
                Some(live) => live.confirm(now),
                None => lease.insert(run.clone(), Live::unknown(now)),
            }
        }
        if lease.phase == Phase::Looking {
            lease.phase = Phase::Ready;
            lease.tries = 0;
            log_keep(lease, KeepChange::Ready, out);
        }
        let listed = |run: &Run| lists.running.contains(run);
        let missing: Vec<_> = lease.runs.keys().filter(|run| !listed(run)).cloned().collect();
        for run in missing {
            self.judge_missing(now, id, sent, &run, out);
        }
        self.plan_look(now, id);
        self.tick_runs(now, id, out);
    }

    fn take_end(&mut self, now: Time, id: EndpointId, ended: &Ended, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if ended.number <= lease.acknowledged {
            return;
        }
        lease.acknowledged = ended.number;
        let Some(run) = &ended.run else { return };
        if ended.how == How::Done {
            lease.worked = now;
        }
        let end = match ended.how {
            How::Done => End::Done,
            How::Failed => End::Failed,
            How::Stopped | How::Lapsed => End::Lost,
        };
        self.end_run(now, id, run, end, Ending::Listed(ended.how), out);
    }

    /// Decides about a run that the lists of a look sent at `sent` do not hold.
    fn judge_missing(
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
            State::Stopped { since } if since < sent && live.seen.is_some() => {
                self.end_missing(now, id, run, out);
            }
            State::Stopped { since } if since < sent => {
                self.end_run(now, id, run, End::NotRun, Ending::Missing, out);
            }
            State::Starting if live.sent + grace < sent => {
                self.stop(now, id, run, StopCause::StartLost, out);
            }
            State::Unsure { since } if since <= sent => {
                self.stop(now, id, run, StopCause::StartLost, out);
            }
            _ => {}
        }
    }

    /// A start that is not answered or listed by then is late.
    pub(super) fn start_grace(&self) -> Span {
        self.options.start_grace + Span(self.start_time.0 * 4)
    }

    /// Decides when the executor is looked at next.
    fn plan_look(&mut self, now: Time, id: EndpointId) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if lease.looking.is_some() {
            return;
        }
        lease.look_at = match lease.runs.is_empty() {
            false => Some(now),
            true if lease.confirmed < lease.acknowledged => {
                Some(now + self.options.acknowledge_after)
            }
            true => lease.executor.born.map(|_| now + self.options.look_idle),
        };
    }

    /// Does what is due for the runs of an executor.
    pub(super) fn tick_runs(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let unheard = Span(self.start_grace().0 * UNHEARD);
        let Some(lease) = self.leases.get(&id) else { return };
        if lease.silent > 0 && !lease.runs.is_empty() && lease.has_lapsed(now) {
            return self.lease_over(now, id, out);
        }
        let overdue = |live: &Live| {
            let factor = match lease.worked > live.sent {
                true => self.options.overdue_factor_working,
                false => self.options.overdue_factor,
            };
            let limit = Span(live.estimate.0 * factor);
            let seen = live.seen.unwrap_or(live.sent);
            seen.since(live.sent) > limit + self.options.overdue_margin
        };
        let gone = |live: &Live| match live.state {
            State::Stopped { since } => live.seen.is_none() && since + self.options.stop_time < now,
            _ => false,
        };
        let over: Vec<_> =
            lease.runs.iter().filter(|(_, live)| gone(live)).map(|(run, _)| run.clone()).collect();
        let wish = |live: &Live| match live.state {
            State::StopAgain { at } if at <= now => live.stop,
            State::Starting if live.sent + unheard < now => Some(StopCause::StartLost),
            State::Running { .. } if live.task.is_none() => Some(StopCause::Unknown),
            State::Running { .. } if overdue(live) => Some(StopCause::Overdue),
            _ => None,
        };
        let wishes: Vec<_> =
            lease.runs.iter().filter_map(|(run, live)| Some((run.clone(), wish(live)?))).collect();
        for run in over {
            self.end_run(now, id, &run, End::Lost, Ending::Missing, out);
        }
        for (run, why) in wishes {
            self.stop(now, id, &run, why, out);
        }
        self.look_again(now, id, out);
        self.look(now, id, out);
    }

    fn lease_over(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get(&id) else { return };
        let runs: Vec<_> = lease.runs.keys().cloned().collect();
        for run in runs {
            self.end_run(now, id, &run, End::ExecutorLost, Ending::LeaseOver, out);
        }
    }

    /// Another entry holds the executor with a higher token: it answers for what runs there.
    pub(super) fn fenced(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.tries = lease.tries.saturating_add(1);
        lease.phase = Phase::Fenced { until: now + self.options.fenced_pause };
        lease.look_at = None;
        log_keep(lease, KeepChange::Fenced, out);
        let runs: Vec<_> = lease.runs.keys().cloned().collect();
        for run in runs {
            self.end_run(now, id, &run, End::Unsure, Ending::Fenced, out);
        }
    }

    /// This life of the executor is over, and all that ran there.
    pub(super) fn executor_gone(&mut self, now: Time, id: EndpointId, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let first = !lease.executor.leaving;
        lease.executor.leaving = true;
        if first {
            log_keep(lease, KeepChange::Gone, out);
        }
        let runs: Vec<_> = lease.runs.keys().cloned().collect();
        for run in runs {
            self.end_run(now, id, &run, End::ExecutorLost, Ending::ExecutorGone, out);
        }
    }
}

/// Sends a look in place of one that may be on its way.
fn send_look(
    now: Time,
    lease: &mut Lease,
    wait: Span,
    patience: Span,
    deadline: Option<Remote>,
    out: &mut Vec<Action>,
) {
    lease.looks += 1;
    lease.look_at = None;
    lease.looking = Some(Looking {
        number: lease.looks,
        sent: now,
        until: now + wait + patience,
        held: wait > Span::ZERO,
        acknowledged: lease.acknowledged,
    });
    out.push(Action::Look(Look {
        executor: lease.executor.id,
        number: lease.looks,
        token: lease.token,
        acknowledged: lease.acknowledged,
        deadline,
        wait,
    }));
}

/// Notes a look without an answer. The next one is due at `again`; later if nothing runs there and
/// another one failed before.
fn look_failed(lease: &mut Lease, again: Time, idle: Span, out: &mut Vec<Action>) {
    lease.silent += 1;
    let is_idle = lease.runs.is_empty() && lease.phase == Phase::Ready && lease.silent > 1;
    lease.look_at = Some(if is_idle { again + idle } else { again });
    if lease.silent == SILENT_LOOKS {
        log_keep(lease, KeepChange::Silent, out);
    }
}

impl Live {
    /// A run that nobody here knows of.
    fn unknown(now: Time) -> Self {
        Self {
            task: None,
            needs: Resources::default(),
            estimate: Span::ZERO,
            give_up: now,
            sent: now,
            state: State::Running { since: now },
            seen: Some(now),
            stop: None,
        }
    }

    fn confirm(&mut self, now: Time) {
        self.seen = Some(now);
        if matches!(self.state, State::Starting | State::Unsure { .. }) {
            self.state = State::Running { since: now };
        }
    }
}
