//! Lends capacity to other entries, borrows it and returns it.

use super::{
    Pool,
    share::{Borrowed, Kept},
};
use crate::{
    Action, Decision, Message,
    message::{Grant, Lend, ServiceGrants},
};
use site::{
    id::{EndpointId, Home},
    unit::{Resources, Span, Time},
};

/// Divisor of the idle capacity that is reserved for the own cluster: one part in this many is not
/// lent to other clusters.
const RESERVE_DIVISOR: u32 = 4;

impl Pool {
    /// Accepts capacity that another entry lends.
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
            self.update_usable(now, grant.endpoint);
        }
        for grant in unknown {
            self.share.outbox.add_back(from, grant);
            self.share.outbox.flush_by(now);
        }
        self.schedule(now, out);
    }

    /// Accepts capacity that another entry returns.
    pub(crate) fn reclaim(
        &mut self,
        now: Time,
        from: Home,
        grants: &[Grant],
        out: &mut Vec<Action>,
    ) {
        self.update_lent(now, grants, |kept, resources| kept.take_back(from, resources), out);
    }

    /// Records capacity as lent that another entry has been using since before this entry became
    /// its keeper.
    pub(crate) fn record_lent(
        &mut self,
        now: Time,
        from: Home,
        grants: &[Grant],
        out: &mut Vec<Action>,
    ) {
        self.update_lent(now, grants, |kept, resources| kept.lend(from, resources), out);
    }

    /// Applies `update` to the loans of the kept endpoints among `grants`.
    fn update_lent(
        &mut self,
        now: Time,
        grants: &[Grant],
        update: impl Fn(&mut Kept, &Resources),
        out: &mut Vec<Action>,
    ) {
        for grant in grants {
            if let Some(kept) = self.share.kept.get_mut(&grant.endpoint) {
                update(kept, &grant.resources);
                self.update_usable(now, grant.endpoint);
            }
        }
        self.schedule(now, out);
    }

    /// Returns free capacity that its keeper recalled. While tasks are queued here, also allocates
    /// what is owed to neighbours.
    pub(super) fn lend_owed(&mut self, now: Time) {
        self.return_recalled(now);
        if self.queue.is_empty() || self.share.owed == 0 {
            return;
        }
        let Some((to, needs)) = self.neediest() else {
            self.share.owed = 0;
            return;
        };
        let given = self.hand_out(now, to, self.share.owed, &needs);
        self.share.owed -= given.min(self.share.owed);
        if given > 0 {
            let wait = if self.share.owed > 0 { self.batch_delay() } else { Span::ZERO };
            self.share.outbox.flush_by(now + wait);
        }
    }

    fn return_recalled(&mut self, now: Time) {
        let recalled = self.share.borrowed.iter().filter(|(_, b)| b.recalled);
        let idle: Vec<_> = recalled
            .map(|(id, b)| (*id, b.keeper, self.placement.free(*id)))
            .filter(|(_, _, free)| *free != Resources::default())
            .collect();
        for (endpoint, keeper, free) in idle {
            self.return_borrowed(now, endpoint, keeper, free);
            self.share.outbox.flush_by(now + self.batch_delay());
        }
    }

    /// Time for which capacity for other entries is collected before it is sent.
    fn batch_delay(&self) -> Span {
        match self.prefers_messages() {
            true => Span::from_millis(25),
            false => Span::from_millis(5),
        }
    }

    /// Returns the requesting neighbour with the least capacity, and what its tasks need.
    fn neediest(&self) -> Option<(Home, Resources)> {
        let neighbours = self.share.peer_requests.iter().filter(|(_, peer)| !peer.remote);
        let neediest = neighbours.min_by_key(|(home, peer)| (peer.request.held, **home));
        neediest.map(|(home, peer)| (*home, peer.request.needs))
    }

    /// Returns all idle borrowed capacity if this entry has nothing queued and keeps no endpoints of
    /// the pool, since it then places the pool's tasks only as an exception.
    fn return_idle(&mut self, now: Time) {
        if !self.share.kept.is_empty() || !self.queue.is_empty() || self.share.borrowed.is_empty() {
            return;
        }
        for borrowed in self.share.borrowed.values_mut() {
            borrowed.recalled = true;
        }
        self.return_recalled(now);
    }

    /// Lends idle capacity to the entries that request it.
    pub(super) fn lend_idle(&mut self, now: Time) {
        self.return_idle(now);
        if !self.queue.is_empty() || self.share.peer_requests.is_empty() {
            return;
        }
        let mut requests: Vec<_> = self
            .share
            .peer_requests
            .iter()
            .map(|(home, peer)| (peer.remote, *home, peer.request.tasks, peer.request.needs))
            .collect();
        requests.sort_unstable_by_key(|(remote, home, ..)| (*remote, *home));
        for (remote, to, tasks, needs) in requests {
            let idle = self.idle_tasks(&needs);
            let part = match remote {
                true => tasks.min(idle.saturating_sub(idle.div_ceil(RESERVE_DIVISOR))),
                false if idle <= tasks => idle,
                false => tasks + (idle - tasks) / 2,
            };
            if self.hand_out(now, to, part, &needs) > 0 {
                self.share.outbox.flush_by(now);
            }
        }
    }

    /// Returns the number of tasks with these `needs` that fit the free capacity.
    fn idle_tasks(&self, needs: &Resources) -> u32 {
        if self.is_uniform() {
            return self.placement.total_free().0;
        }
        self.placement.free_endpoints(false).map(|(_, free)| free.max_tasks(needs)).sum()
    }

    /// Allocates idle capacity for up to `tasks` tasks to `to`; borrowed capacity goes back to
    /// its keeper instead. Returns the number of tasks, those of returned capacity included.
    fn hand_out(&mut self, now: Time, to: Home, tasks: u32, needs: &Resources) -> u32 {
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
                self.share.outbox.lend(to, Grant { endpoint, resources });
                self.update_usable(now, endpoint);
            } else if let Some(keeper) = self.share.borrowed.get(&endpoint).map(|b| b.keeper) {
                self.return_borrowed(now, endpoint, keeper, resources);
            }
            given += count;
            if given == tasks {
                break;
            }
        }
        self.share.record_served(to, given);
        given
    }

    fn return_borrowed(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        keeper: Home,
        resources: Resources,
    ) {
        let Some(borrowed) = self.share.borrowed.get_mut(&endpoint) else {
            return;
        };
        borrowed.resources = borrowed.resources.minus(&resources);
        if borrowed.resources == Resources::default() {
            self.share.borrowed.remove(&endpoint);
        }
        self.share.outbox.add_back(keeper, Grant { endpoint, resources });
        self.update_usable(now, endpoint);
    }

    /// Sends the grants in the outbox once they are due.
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.share.outbox.due.is_none_or(|due| due > now) {
            return;
        }
        let outbox = std::mem::take(&mut self.share.outbox);
        let service = self.key;
        for (to, grants) in outbox.lend {
            let slots = grants.iter().map(|grant| grant.resources.slots.0).sum();
            out.push(Action::Log(Decision::Lend { to, service, slots }));
            out.push(Action::Send { to, message: Message::Lend(Lend { service, grants }) });
        }
        for (to, grants) in outbox.give_back {
            let returned = ServiceGrants { service, grants };
            out.push(Action::Send { to, message: Message::Return(returned) });
        }
    }
}
