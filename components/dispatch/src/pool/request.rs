//! Wishes for capacity: sent when tasks wait, heard from others, and weighed against each other.

use super::{
    Pool,
    share::{OwnRequest, PeerRequest},
};
use crate::{
    Action, Message,
    message::{CapacityRequest, Demand},
};
use site::{
    id::{DataCentreId, Home},
    unit::{Resources, Span, Time},
};

/// A wish is forgotten after this unless it is repeated.
const REQUEST_LIFETIME: Span = Span::from_millis(1_000);

/// A wish that still stands is repeated after this.
const REQUEST_REPEAT_INTERVAL: Span = Span::from_millis(500);

/// A wish that grew is repeated no sooner than this.
const MIN_GROWTH_INTERVAL: Span = Span::from_millis(20);

/// Most firms that a wish names; the rest count for nothing at the keeper.
const MAX_DEMAND_FIRMS: usize = 16;

impl Pool {
    /// Asks others for capacity, if tasks wait for it.
    pub(super) fn request_capacity(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some((_, head)) = self.queue.peek().filter(|_| self.has_unplaced) else {
            self.share.own_request = None;
            return;
        };
        let (declared, _) = self.declared(&head.job, head.index);
        let needs = self.needs(&head.job, &declared);
        let tasks = self.queue.len() as u32;
        let sent = self.share.own_request;
        let remote = sent.is_some_and(|sent| now >= sent.first_sent + self.remote_delay());
        if sent.is_some_and(|sent| !sent.should_repeat(now, tasks, remote)) {
            return;
        }
        let request = CapacityRequest {
            service: self.key,
            tasks,
            held: self.share.held.count(&needs),
            needs,
            demand: self.demand(),
        };
        let first_sent = sent.map_or(now, |sent| sent.first_sent);
        self.share.own_request = Some(OwnRequest { tasks, first_sent, last_sent: now, remote });
        for to in self.lender_homes(remote) {
            out.push(Action::Send { to, message: Message::CapacityRequest(request.clone()) });
        }
    }

    /// Whom to ask: those who keep endpoints near, those who hold something of this entry's, and
    /// after a while those of other clusters.
    fn lender_homes(&self, remote: bool) -> Vec<Home> {
        let mut homes = self.share.lenders.clone();
        let borrowers = self.share.kept.values().flat_map(|kept| &kept.lent);
        homes.extend(borrowers.map(|(home, _)| *home));
        if remote && self.is_remote_worthwhile() {
            homes.extend(&self.share.distant);
        }
        homes.sort_unstable();
        homes.dedup();
        homes
    }

    fn is_distant(&self, home: Home) -> bool {
        !self.index.cluster.contains(&home.data_centre)
    }

    /// How long to wait for neighbours before other data centres are asked.
    fn remote_delay(&self) -> Span {
        match self.prefers_messages() {
            true => Span::from_millis(50),
            false => Span::from_millis(10),
        }
    }

    /// Whether waiting here takes longer than the way to the nearest other data centre and back.
    fn is_remote_worthwhile(&self) -> bool {
        let Some((key, head)) = self.queue.peek() else {
            return false;
        };
        let (declared, _) = self.declared(&head.job, head.index);
        let held = self.share.held.count(&declared).max(1);
        let wait = Span(self.queue.ahead(key.firm).0 / u64::from(held));
        let distant = self.share.distant.iter();
        let nearest = distant.filter_map(|home| self.index.latency(home.data_centre)).min();
        nearest.is_some_and(|latency| wait > Span(latency.0 * 4))
    }

    fn demand(&self) -> Vec<Demand> {
        let demand = self.open_tasks.iter();
        let mut demand: Vec<_> =
            demand.map(|(firm, jobs)| Demand { firm: *firm, jobs: jobs.len() as u32 }).collect();
        demand.sort_unstable_by_key(|firm_demand| firm_demand.firm);
        demand.truncate(MAX_DEMAND_FIRMS);
        demand
    }

    /// When [`Pool::wish`] may have to ask again.
    pub(super) fn next_capacity_request(&self) -> Option<Time> {
        let sent = self.share.own_request?;
        let repeat = sent.last_sent + REQUEST_REPEAT_INTERVAL;
        let distant = (!sent.remote).then(|| sent.first_sent + self.remote_delay());
        Some(distant.map_or(repeat, |distant| distant.min(repeat)))
    }

    /// Takes notice of another entry's wish.
    pub(crate) fn receive_request(
        &mut self,
        now: Time,
        from: Home,
        request: CapacityRequest,
        out: &mut Vec<Action>,
    ) {
        let remote = self.is_distant(from);
        let needs = request.needs;
        if request.tasks > 0 {
            let until = now + REQUEST_LIFETIME;
            self.share.peer_requests.insert(from, PeerRequest { request, until, remote });
        } else {
            self.share.peer_requests.remove(&from);
        }
        if remote {
            self.recall(from.data_centre);
        } else {
            let held = self.share.held.count(&needs);
            self.share.owed = held.saturating_sub(self.target(&needs));
        }
        self.schedule(now, out);
    }

    /// Capacity, in tasks, that this entry should hold while others want some too.
    pub(super) fn target(&self, needs: &Resources) -> u32 {
        let held = self.share.held.count(needs);
        self.share.target(held, &self.demand(), |firm| self.index.weight(firm))
    }

    /// Marks everything borrowed from a data centre as to be given back.
    fn recall(&mut self, data_centre: DataCentreId) {
        for borrowed in self.share.borrowed.values_mut() {
            borrowed.recalled |= borrowed.keeper.data_centre == data_centre;
        }
    }
}

impl OwnRequest {
    /// Whether the wish is to be sent again.
    fn should_repeat(&self, now: Time, tasks: u32, remote: bool) -> bool {
        let grown =
            tasks > self.tasks.saturating_mul(2) && now >= self.last_sent + MIN_GROWTH_INTERVAL;
        grown || now >= self.last_sent + REQUEST_REPEAT_INTERVAL || (remote && !self.remote)
    }
}
