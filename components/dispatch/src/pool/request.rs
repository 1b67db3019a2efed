//! Sends capacity requests to other entries and handles those received.

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

/// Time after which a received capacity request expires unless it is repeated.
const REQUEST_LIFETIME: Span = Span::from_millis(1_000);

/// Interval at which a capacity request that is not satisfied is repeated.
const REQUEST_REPEAT_INTERVAL: Span = Span::from_millis(500);

/// Minimum interval after which a capacity request is repeated early because the queue has more
/// than doubled.
const MIN_GROWTH_INTERVAL: Span = Span::from_millis(20);

/// Maximum number of firms in a capacity request. Those with the lowest ids are listed; the
/// keeper gives no weight to the others.
const MAX_DEMAND_FIRMS: usize = 16;

impl Pool {
    /// Requests capacity from other entries if queued tasks did not fit any endpoint.
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
            held: self.share.held.max_tasks(&needs),
            needs,
            demand: self.demand(),
        };
        let first_sent = sent.map_or(now, |sent| sent.first_sent);
        self.share.own_request = Some(OwnRequest { tasks, first_sent, last_sent: now, remote });
        for to in self.lender_homes(remote) {
            out.push(Action::Send { to, message: Message::CapacityRequest(request.clone()) });
        }
    }

    /// Returns the entries to ask: neighbours that keep endpoints, borrowers of endpoints that this
    /// entry keeps, and entries of other clusters if `remote` is set and the wait is worth the
    /// distance.
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

    /// Returns the time for which only entries of the cluster are asked.
    fn remote_delay(&self) -> Span {
        match self.prefers_messages() {
            true => Span::from_millis(50),
            false => Span::from_millis(10),
        }
    }

    /// Whether the expected wait here exceeds two round trips to the nearest other cluster.
    fn is_remote_worthwhile(&self) -> bool {
        let Some((key, head)) = self.queue.peek() else {
            return false;
        };
        let (declared, _) = self.declared(&head.job, head.index);
        let held = self.share.held.max_tasks(&declared).max(1);
        let wait = Span(self.queue.work_ahead(key.firm).0 / u64::from(held));
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

    /// Returns when [`Pool::request_capacity`] may have to ask again.
    pub(super) fn next_capacity_request(&self) -> Option<Time> {
        let sent = self.share.own_request?;
        let repeat = sent.last_sent + REQUEST_REPEAT_INTERVAL;
        let distant = (!sent.remote).then(|| sent.first_sent + self.remote_delay());
        Some(distant.map_or(repeat, |distant| distant.min(repeat)))
    }

    /// Handles another entry's capacity request.
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
            let held = self.share.held.max_tasks(&needs);
            self.share.owed = held.saturating_sub(self.target(&needs));
        }
        self.schedule(now, out);
    }

    /// Returns the capacity, in tasks, that this entry should hold while others request some too.
    pub(super) fn target(&self, needs: &Resources) -> u32 {
        let held = self.share.held.max_tasks(needs);
        self.share.target(held, &self.demand(), |firm| self.index.weight(firm))
    }

    /// Marks all capacity borrowed from a data centre as recalled.
    fn recall(&mut self, data_centre: DataCentreId) {
        for borrowed in self.share.borrowed.values_mut() {
            borrowed.recalled |= borrowed.keeper.data_centre == data_centre;
        }
    }
}

impl OwnRequest {
    /// Whether the request should be sent again.
    fn should_repeat(&self, now: Time, tasks: u32, remote: bool) -> bool {
        let grown =
            tasks > self.tasks.saturating_mul(2) && now >= self.last_sent + MIN_GROWTH_INTERVAL;
        grown || now >= self.last_sent + REQUEST_REPEAT_INTERVAL || (remote && !self.remote)
    }
}
