//! Executors that begin a new life under the name that they had.
//!
//! A new life knows nothing of the one before: its clock and its numbers of ends start anew, and
//! nothing runs. It is noticed by the birth in the executor's lists or registration, whichever comes
//! first.

use super::{Keeper, Lease, Phase, log_keep};
use crate::{
    Action,
    action::{Ending, KeepChange},
    executor::Birth,
    job::Run,
    message::End,
};
use site::{id::EndpointId, unit::Time};
use std::cmp::Ordering;

/// How a birth that was told relates to the life that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Life {
    /// It is that one, or lives can't be told apart by it.
    Known,
    /// It is a later one.
    New,
    /// It is an earlier one: what tells it was overtaken.
    Past,
}

impl Lease {
    /// The life that a birth belongs to.
    pub(super) fn life(&self, told: Option<Birth>) -> Life {
        let (Some(told), Some(known)) = (told, self.executor.born) else { return Life::Known };
        match told.cmp(&known) {
            Ordering::Equal => Life::Known,
            Ordering::Greater => Life::New,
            Ordering::Less => Life::Past,
        }
    }

    /// Forgets what held for the life before.
    fn begin_life(&mut self, now: Time, born: Option<Birth>, out: &mut Vec<Action>) {
        self.executor.born = born;
        self.life_since = now;
        self.clock = None;
        self.deadline = 0;
        self.acknowledged = 0;
        self.confirmed = 0;
        self.silent = 0;
        self.full_until = Time(0);
        log_keep(self, KeepChange::Reborn, out);
    }
}

impl Keeper {
    /// Takes the life in that answers the latest look. Whatever its birth says, it is the present one: the
    /// time of day of its machine may have been set back.
    pub(super) fn meet(
        &mut self,
        now: Time,
        id: EndpointId,
        told: Option<Birth>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        match lease.life(told) {
            Life::Known => lease.executor.born = lease.executor.born.or(told),
            Life::New | Life::Past => lease.begin_life(now, told, out),
        }
    }

    /// A registration tells of a new life: the executor is looked at before its next use, and what
    /// had run there is judged by its lists.
    pub(super) fn reborn(
        &mut self,
        now: Time,
        id: EndpointId,
        born: Option<Birth>,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        lease.begin_life(now, born, out);
        if lease.is_in_use() {
            lease.phase = Phase::Looking;
            lease.looking = None;
            lease.look_at = Some(now);
        }
    }

    /// Ends a run that the executor no longer lists, nor its end.
    pub(super) fn end_missing(
        &mut self,
        now: Time,
        id: EndpointId,
        run: &Run,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get(&id) else { return };
        let crashed = lease.runs.get(run).is_some_and(|live| live.sent < lease.life_since);
        match crashed {
            true => self.end_run(now, id, run, End::ExecutorLost, Ending::ExecutorGone, out),
            false => self.end_run(now, id, run, End::Lost, Ending::Missing, out),
        }
    }
}
