//! Capacity that changes hands between entries.

use super::{
    Pool,
    share::{Borrowed, Kept},
};
use crate::{
    Action, Decision, Message,
    message::{Giveback, Grant, Lend},
};
use site::{
    id::{EndpointId, Home},
    unit::{Resources, Span, Time},
};

/// Part of the idle capacity that is not lent to other data centres: one in this many.
const RESERVE: u32 = 4;

impl Pool {
    /// Takes what another entry lends.
    pub(crate) fn borrow(&mut self, now: Time, from: Home, lend: Lend, out: &mut Vec<Action>) {
        let mut unknown = Vec::new();
        for grant in lend.grants {
            let known = self.index.endpoints.contains_key(&grant.endpoint);
            if !known || self.share.kept.contains_key(&grant.endpoint) {
                unknown.push(grant);
                continue;
            }
            let fresh = Borrowed { keeper: from, ..Borrowed::default() };
            let borrowed = self.share.borrowed.entry(grant.endpoint).or_insert(fresh);
            if borrowed.keeper != from {
                *borrowed = fresh;
            }
            borrowed.resources = borrowed.resources.plus(&grant.resources);
            self.refresh(now, grant.endpoint);
        }
        for grant in unknown {
            self.share.parcel.add_back(from, grant);
            self.share.parcel.due_by(now);
        }
        self.settle(now, out);
    }

    /// Takes back what this entry had lent.
    pub(crate) fn take_back(
        &mut self,
        now: Time,
        from: Home,
        grants: &[Grant],
        out: &mut Vec<Action>,
    ) {
        self.account(now, grants, |kept, resources| kept.take_back(from, resources), out);
    }

    /// Counts capacity as lent that another entry uses since before this one kept it.
    pub(crate) fn acknowledge(
        &mut self,
        now: Time,
        from: Home,
        grants: &[Grant],
        out: &mut Vec<Action>,
    ) {
        self.account(now, grants, |kept, resources| kept.lend(from, resources), out);
    }

    /// Enters `grants` in the accounts of the endpoints that this entry keeps.
    fn account(
        &mut self,
        now: Time,
        grants: &[Grant],
        enter: impl Fn(&mut Kept, &Resources),
        out: &mut Vec<Action>,
    ) {
        for grant in grants {
            if let Some(kept) = self.share.kept.get_mut(&grant.endpoint) {
                enter(kept, &grant.resources);
                self.refresh(now, grant.endpoint);
            }
        }
        self.settle(now, out);
    }

    /// Sets capacity apart that is owed to others.
    pub(super) fn pay(&mut self, now: Time) {
        self.pay_recalled(now);
        if self.queue.is_empty() || self.share.owed == 0 {
            return;
        }
        let Some((to, needs)) = self.neediest() else {
            self.share.owed = 0;
            return;
        };
        let given = self.give(now, to, self.share.owed, &needs);
        self.share.owed -= given.min(self.share.owed);
        if given > 0 {
            let wait = if self.share.owed > 0 { self.batch() } else { Span::ZERO };
            self.share.parcel.due_by(now + wait);
        }
    }

    fn pay_recalled(&mut self, now: Time) {
        let recalled = self.share.borrowed.iter().filter(|(_, b)| b.recalled);
        let idle: Vec<_> = recalled
            .map(|(id, b)| (*id, b.keeper, self.placement.free(*id)))
            .filter(|(_, _, free)| *free != Resources::default())
            .collect();
        for (endpoint, keeper, free) in idle {
            self.give_back(now, endpoint, keeper, free);
            self.share.parcel.due_by(now + self.batch());
        }
    }

    /// How long capacity for others is collected before it is sent.
    fn batch(&self) -> Span {
        match self.prefers_messages() {
            true => Span::from_millis(25),
            false => Span::from_millis(5),
        }
    }

    /// The neighbour that holds least of what it wants.
    fn neediest(&self) -> Option<(Home, Resources)> {
        let neighbours = self.share.heard.iter().filter(|(_, heard)| !heard.remote);
        let neediest = neighbours.min_by_key(|(home, heard)| (heard.want.held, **home));
        neediest.map(|(home, heard)| (*home, heard.want.needs))
    }

    /// Gives back what is idle, if this entry is not one that places tasks as a rule.
    fn give_back_idle(&mut self, now: Time) {
        if !self.share.kept.is_empty() || !self.queue.is_empty() || self.share.borrowed.is_empty() {
            return;
        }
        for borrowed in self.share.borrowed.values_mut() {
            borrowed.recalled = true;
        }
        self.pay_recalled(now);
    }

    /// Lends what is idle to those who want it.
    pub(super) fn offer(&mut self, now: Time) {
        self.give_back_idle(now);
        if !self.queue.is_empty() || self.share.heard.is_empty() {
            return;
        }
        let mut wishes: Vec<_> = self
            .share
            .heard
            .iter()
            .map(|(home, heard)| (heard.remote, *home, heard.want.tasks, heard.want.needs))
            .collect();
        wishes.sort_unstable_by_key(|(remote, home, ..)| (*remote, *home));
        for (remote, to, tasks, needs) in wishes {
            let idle = self.idle(&needs);
            let part = match remote {
                true => tasks.min(idle.saturating_sub(idle.div_ceil(RESERVE))),
                false if idle <= tasks => idle,
                false => tasks + (idle - tasks) / 2,
            };
            if self.give(now, to, part, &needs) > 0 {
                self.share.parcel.due_by(now);
            }
        }
    }

    /// Tasks that need `needs` and that idle endpoints have room for.
    fn idle(&self, needs: &Resources) -> u32 {
        if self.is_uniform() {
            return self.placement.total_free().0;
        }
        self.placement.free_endpoints(false).map(|(_, free)| free.max_tasks(needs)).sum()
    }

    /// Sets idle capacity for up to `tasks` tasks apart for `to`; returns for how many.
    fn give(&mut self, now: Time, to: Home, tasks: u32, needs: &Resources) -> u32 {
        let mut given = 0;
        let free: Vec<_> = self.placement.free_endpoints(false).collect();
        for (endpoint, free) in free {
            let count = free.max_tasks(needs).min(tasks - given);
            if count == 0 {
                continue;
            }
            let resources = needs.times(count);
            if let Some(kept) = self.share.kept.get_mut(&endpoint) {
                kept.lend(to, &resources);
                self.share.parcel.lend(to, Grant { endpoint, resources });
                self.refresh(now, endpoint);
            } else if let Some(keeper) = self.share.borrowed.get(&endpoint).map(|b| b.keeper) {
                self.give_back(now, endpoint, keeper, resources);
            }
            given += count;
            if given == tasks {
                break;
            }
        }
        self.share.served(to, given);
        given
    }

    fn give_back(&mut self, now: Time, endpoint: EndpointId, keeper: Home, resources: Resources) {
        let Some(borrowed) = self.share.borrowed.get_mut(&endpoint) else {
            return;
        };
        borrowed.resources = borrowed.resources.minus(&resources);
        if borrowed.resources == Resources::default() {
            self.share.borrowed.remove(&endpoint);
        }
        self.share.parcel.add_back(keeper, Grant { endpoint, resources });
        self.refresh(now, endpoint);
    }

    /// Sends what was set apart, when it is due.
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.share.parcel.due.is_none_or(|due| due > now) {
            return;
        }
        let parcel = std::mem::take(&mut self.share.parcel);
        let service = self.key;
        for (to, grants) in parcel.lend {
            let slots = grants.iter().map(|grant| grant.resources.slots.0).sum();
            out.push(Action::Log(Decision::Lend { to, service, slots }));
            out.push(Action::Send { to, message: Message::Lend(Lend { service, grants }) });
        }
        for (to, grants) in parcel.give_back {
            let giveback = Giveback { service, grants };
            out.push(Action::Send { to, message: Message::Return(giveback) });
        }
    }
}
