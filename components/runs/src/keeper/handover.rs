//! Executors that change their keeper: claims, and what a former keeper knows.

use super::{Keeper, Lease, Life, Live, Phase, State};
use crate::{
    Action, Message,
    action::KeepChange,
    job::Run,
    message::{Moved, Yield, Yielded},
    view::View,
};
use site::{
    id::{EndpointId, Home},
    unit::Time,
};

impl Keeper {
    /// Whether there is no executor that could be handed over.
    pub(crate) fn keeps_nothing(&self) -> bool {
        !self.leases.values().any(Lease::is_in_use)
    }

    /// Hands executors over to another entry that now keeps them.
    pub(crate) fn hand_over(
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
            let Some(lease) = self.leases.get(id) else { continue };
            let message = Message::Yield(Yield {
                executor: *id,
                born: lease.executor.born,
                token: lease.token,
                acknowledged: lease.acknowledged,
                runs: lease.runs.iter().filter_map(|(run, live)| yielded(now, run, live)).collect(),
            });
            out.push(Action::Send { to, message });
            self.forget(*id, KeepChange::Yield, out);
        }
    }

    /// Takes over what a former keeper knew of an executor. Returns the runs that it had there.
    pub(crate) fn take_over(
        &mut self,
        now: Time,
        view: &View,
        yielded: Yield,
        out: &mut Vec<Action>,
    ) -> Vec<Moved> {
        let Some(lease) = self.leases.get_mut(&yielded.executor) else { return Vec::new() };
        if !matches!(lease.phase, Phase::Claiming { .. } | Phase::Looking) {
            return Vec::new();
        }
        lease.token = lease.token.max(view.token_above(yielded.token));
        if lease.life(yielded.born) == Life::Known {
            lease.acknowledged = lease.acknowledged.max(yielded.acknowledged);
        }
        lease.inherit(now, self.options.lease);
        let mut moved = Vec::new();
        for entry in yielded.runs {
            let live = Live {
                task: Some(entry.task),
                needs: entry.needs,
                estimate: entry.estimate,
                give_up: now + entry.give_up_in,
                sent: Time(now.0.saturating_sub(entry.running_for.0)),
                state: State::Unsure { since: now },
                seen: None,
                stop: None,
            };
            self.health.try_acquire(now, yielded.executor);
            moved.push(Moved { task: entry.task, run: entry.run.number });
            lease.insert(entry.run, live);
        }
        if matches!(lease.phase, Phase::Claiming { .. }) {
            self.begin_look(now, yielded.executor, out);
        }
        moved
    }

    /// Another entry does not keep these executors, or can't be asked.
    pub(crate) fn disclaimed(
        &mut self,
        now: Time,
        from: Home,
        executors: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        executors.iter().for_each(|id| self.end_claim(now, *id, Some(from), out));
    }

    /// The connection to an entry is lost that may have been asked for executors.
    pub(crate) fn peer_lost(&mut self, now: Time, peer: Home, out: &mut Vec<Action>) {
        let asked = |lease: &&Lease| lease.asked.contains(&peer);
        let ids: Vec<_> = self.leases.values().filter(asked).map(|l| l.executor.id).collect();
        self.disclaimed(now, peer, &ids, out);
    }

    /// Notes who has answered a claim; without anybody left to ask, the executor is looked at.
    pub(super) fn end_claim(
        &mut self,
        now: Time,
        id: EndpointId,
        answered: Option<Home>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.asked.retain(|home| Some(*home) != answered);
        if matches!(lease.phase, Phase::Claiming { .. }) && lease.asked.is_empty() {
            self.begin_look(now, id, out);
        }
    }
}

/// What another keeper has to know of a run; nothing of one that is unknown here.
fn yielded(now: Time, run: &Run, live: &Live) -> Option<Yielded> {
    Some(Yielded {
        run: run.clone(),
        task: live.task?,
        needs: live.needs,
        estimate: live.estimate,
        running_for: now.since(live.sent),
        give_up_in: live.give_up.since(now),
    })
}
