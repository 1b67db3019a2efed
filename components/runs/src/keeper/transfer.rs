//! Transfers of executors between keepers: executor claims, and the state that a former keeper
//! sends.

use super::{Age, Keeper, Lease, Ownership, Phase, State, TrackedRun};
use crate::{
    Action, Message,
    action::KeepChange,
    job::Run,
    message::{End, Ended, Moved, Transfer, TransferredRun},
    view::View,
};
use site::{
    id::{EndpointId, Home},
    unit::Time,
};

impl Keeper {
    /// Whether there is no executor that could be transferred.
    pub(crate) fn keeps_nothing(&self) -> bool {
        !self.leases.values().any(Lease::is_in_use)
    }

    /// Transfers executors to another entry that now keeps them.
    pub(crate) fn transfer(
        &mut self,
        now: Time,
        to: Home,
        executors: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        let (kept, others): (Vec<_>, Vec<_>) =
            executors.iter().partition(|id| self.leases.get(id).is_some_and(Lease::is_in_use));
        out.push(Action::Send { to, message: Message::Disclaim(others) });
        for id in &kept {
            self.drop_unconfirmed(*id, out);
            let Some(lease) = self.leases.get(id) else { continue };
            let transfer = Transfer {
                executor: *id,
                incarnation: lease.executor.incarnation,
                token: lease.token,
                acknowledged: lease.acknowledged,
                runs: lease
                    .runs
                    .iter()
                    .filter_map(|(run, live)| transferred(now, run, live))
                    .collect(),
            };
            for run in &transfer.runs {
                self.forwarding.note_transfer(now, to, run);
            }
            out.push(Action::Send { to, message: Message::Transfer(transfer) });
            self.forget(*id, KeepChange::Yield, out);
        }
    }

    /// Applies a former keeper's state of an executor. Returns the runs that it had there, for their
    /// homes. Until a home has confirmed this keeper, the executor's lease is not extended.
    pub(crate) fn accept_transfer(
        &mut self,
        now: Time,
        from: Home,
        view: &View,
        transferred: Transfer,
        out: &mut Vec<Action>,
    ) -> Vec<Moved> {
        let Some(lease) = self.leases.get_mut(&transferred.executor) else {
            return_transfer(from, transferred, out);
            return Vec::new();
        };
        // It had a keeper: another entry than the lost one.
        lease.former = None;
        match lease.phase {
            Phase::Claiming { .. } | Phase::Polling => {
                lease.token = lease.token.max(view.token_above(transferred.token));
                if lease.compare(transferred.incarnation) == Age::Same {
                    lease.acknowledged = lease.acknowledged.max(transferred.acknowledged);
                }
                lease.inherit(now, self.options.lease);
            }
            // Too late to be of use for the executor, but the homes of its runs wait for a keeper.
            Phase::Ready => {}
            Phase::Settling { .. } | Phase::Fenced { .. } => {
                return_transfer(from, transferred, out);
                return Vec::new();
            }
        }
        let mut moved = Vec::new();
        for inherited in transferred.runs {
            let run = Moved { task: inherited.task, run: inherited.run.number };
            self.forwarding.forget_note(run.task, run.run);
            let ownership = match view.is_me(run.task.job.home) {
                true => Ownership::Owned,
                false => Ownership::Unconfirmed,
            };
            if ownership == Ownership::Unconfirmed {
                self.forwarding.expect_confirmation(now, from, run);
            }
            let live = lease.inherited_run(now, &inherited, ownership);
            self.health.try_acquire(now, transferred.executor);
            moved.push(run);
            lease.insert(inherited.run, live);
        }
        if matches!(lease.phase, Phase::Claiming { .. }) {
            self.begin_polling(now, transferred.executor, out);
        }
        moved
    }

    /// Handles that an entry does not keep these executors, or can't be asked for them.
    pub(crate) fn disclaimed(
        &mut self,
        now: Time,
        from: Home,
        executors: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        executors.iter().for_each(|id| self.record_claim_answer(now, *id, Some(from), out));
    }

    /// Handles the loss of the connection to an entry that may have been sent claims or tasks.
    pub(crate) fn peer_lost(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.new_keeper_lost(now, peer);
        let was_asked = |lease: &&Lease| lease.claim_recipients.contains(&peer);
        let ids: Vec<_> = self.leases.values().filter(was_asked).map(|l| l.executor.id).collect();
        self.disclaimed(now, peer, &ids, out);
    }

    /// Records who has answered an executor claim. Once no answer is outstanding, the executor is
    /// polled.
    pub(super) fn record_claim_answer(
        &mut self,
        now: Time,
        id: EndpointId,
        answered: Option<Home>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.claim_recipients.retain(|home| Some(*home) != answered);
        if matches!(lease.phase, Phase::Claiming { .. }) && lease.claim_recipients.is_empty() {
            self.begin_polling(now, id, out);
        }
    }
}

impl Lease {
    /// A run of a former keeper. If the executor has listed it already, what is known of it stays.
    fn inherited_run(&self, now: Time, run: &TransferredRun, ownership: Ownership) -> TrackedRun {
        let listed = self.runs.get(&run.run);
        // A stop that was sent can't be taken back.
        let ownership = match listed.is_some_and(TrackedRun::is_being_stopped) {
            true => Ownership::Orphaned,
            false => ownership,
        };
        TrackedRun {
            task: Some(run.task),
            needs: run.needs,
            estimate: run.estimate,
            give_up: now + run.give_up_in,
            due: None,
            is_demanding: false,
            sent: Time(now.0.saturating_sub(run.running_for.0)),
            state: listed.map_or(State::Unconfirmed { since: now }, |live| live.state),
            seen: listed.and_then(|live| live.seen),
            inherited: true,
            ownership,
            stop: listed.and_then(|live| live.stop),
            is_straggling: false,
            end_if_lost: End::ExecutorLost,
        }
    }
}

/// Hands back the runs of a transfer that came too late: their leases end, since nobody extends them.
fn return_transfer(from: Home, transferred: Transfer, out: &mut Vec<Action>) {
    let executor = Some(transferred.executor);
    let ended = transferred.runs.into_iter().map(|TransferredRun { run, task, .. }| Ended {
        task,
        run: run.number,
        executor,
        end: End::Unsure,
    });
    let ended: Vec<_> = ended.collect();
    if !ended.is_empty() {
        out.push(Action::Send { to: from, message: Message::Returned(ended) });
    }
}

/// The state of a run for its new keeper; `None` for a run whose task is unknown here.
fn transferred(now: Time, run: &Run, live: &TrackedRun) -> Option<TransferredRun> {
    Some(TransferredRun {
        run: run.clone(),
        task: live.task?,
        needs: live.needs,
        estimate: live.estimate,
        running_for: now.since(live.sent),
        give_up_in: live.give_up.since(now),
    })
}
