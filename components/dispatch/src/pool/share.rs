//! Records which capacity of a pool this entry keeps, lends and borrows.

use crate::message::{CapacityRequest, Demand, Grant};
use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, FirmId, Home},
    unit::{Resources, Time, Weight},
};

/// An endpoint that this entry keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct Kept {
    /// Total capacity of the endpoint.
    pub(super) capacity: Resources,
    /// Capacity lent to each entry. The sum may exceed the total capacity after a change of
    /// members; then nothing is free until enough has been returned.
    pub(super) lent: Vec<(Home, Resources)>,
}

impl Kept {
    /// Returns the capacity that is not lent.
    pub(super) fn own(&self) -> Resources {
        self.lent.iter().fold(self.capacity, |left, (_, lent)| left.minus(lent))
    }

    /// Records capacity as lent.
    pub(super) fn lend(&mut self, to: Home, resources: &Resources) {
        match self.lent.iter_mut().find(|(home, _)| *home == to) {
            Some((_, lent)) => *lent = lent.plus(resources),
            None => self.lent.push((to, *resources)),
        }
    }

    /// Records capacity as returned.
    pub(super) fn take_back(&mut self, from: Home, resources: &Resources) {
        if let Some((_, lent)) = self.lent.iter_mut().find(|(home, _)| *home == from) {
            *lent = lent.minus(resources);
        }
        self.lent.retain(|(_, lent)| *lent != Resources::default());
    }
}

/// Capacity of an endpoint that this entry has borrowed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Borrowed {
    /// The lender.
    pub(super) keeper: Home,
    /// The borrowed capacity.
    pub(super) resources: Resources,
    /// Whether it must be returned as soon as it is idle.
    pub(super) recalled: bool,
}

/// A capacity request received from another entry.
#[derive(Clone, Debug)]
pub(super) struct PeerRequest {
    pub(super) request: CapacityRequest,
    /// Time at which the request expires.
    pub(super) until: Time,
    /// Whether the requester is in another cluster; it is lent only idle capacity.
    pub(super) remote: bool,
}

/// The last capacity request that this entry sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnRequest {
    /// Number of tasks that capacity was requested for.
    pub(super) tasks: u32,
    /// Time of the first request since tasks began to wait for capacity.
    pub(super) first_sent: Time,
    /// Time of the latest request.
    pub(super) last_sent: Time,
    /// Whether entries of other clusters were asked too.
    pub(super) remote: bool,
}

/// Grants collected to be sent together.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Capacity lent by this entry as keeper, by borrower.
    pub(super) lend: FxHashMap<Home, Vec<Grant>>,
    /// Borrowed capacity that is returned, by keeper.
    pub(super) give_back: FxHashMap<Home, Vec<Grant>>,
    /// Time by which the grants must be sent; `None` when empty.
    pub(super) due: Option<Time>,
}

impl Outbox {
    /// Adds capacity to lend.
    pub(super) fn lend(&mut self, to: Home, grant: Grant) {
        self.lend.entry(to).or_default().push(grant);
    }

    /// Adds borrowed capacity to return to its keeper.
    pub(super) fn add_back(&mut self, keeper: Home, grant: Grant) {
        self.give_back.entry(keeper).or_default().push(grant);
    }

    /// Ensures that the grants are sent by `time`.
    pub(super) fn flush_by(&mut self, time: Time) {
        self.due = Some(self.due.map_or(time, |due| due.min(time)));
    }
}

/// The kept, lent and borrowed capacity of one pool.
#[derive(Debug, Default)]
pub(super) struct Share {
    pub(super) kept: FxHashMap<EndpointId, Kept>,
    pub(super) borrowed: FxHashMap<EndpointId, Borrowed>,
    pub(super) peer_requests: FxHashMap<Home, PeerRequest>,
    pub(super) own_request: Option<OwnRequest>,
    pub(super) outbox: Outbox,
    /// Other live entries of the cluster.
    pub(super) neighbours: Vec<Home>,
    /// Those neighbours that keep endpoints.
    pub(super) lenders: Vec<Home>,
    /// Live entries of data centres outside the cluster that have a link to this one.
    pub(super) distant: Vec<Home>,
    /// Total capacity that this entry may use.
    pub(super) held: Resources,
    /// Total capacity of the cluster's endpoints that have a keeper and are not leaving.
    pub(super) local: Resources,
    /// Part of `held` that each endpoint contributes.
    pub(super) usable_by_endpoint: FxHashMap<EndpointId, Resources>,
    /// Capacity, in tasks, to lend to neighbours as it becomes free. Set by each capacity request.
    pub(super) owed: u32,
}

impl Share {
    /// Returns the endpoints that this entry keeps or borrows.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.kept.keys().chain(self.borrowed.keys()).copied()
    }

    /// Returns the capacity that this entry may use of an endpoint.
    pub(super) fn usable(&self, endpoint: EndpointId) -> Resources {
        match (self.kept.get(&endpoint), self.borrowed.get(&endpoint)) {
            (Some(kept), _) => kept.own(),
            (None, Some(borrowed)) => borrowed.resources,
            (None, None) => Resources::default(),
        }
    }

    /// Drops capacity requests that have expired or are satisfied.
    pub(super) fn expire_requests(&mut self, now: Time) {
        self.peer_requests.retain(|_, peer| peer.until > now && peer.request.tasks > 0);
    }

    /// Subtracts granted tasks from a capacity request.
    pub(super) fn record_served(&mut self, home: Home, tasks: u32) {
        if let Some(peer) = self.peer_requests.get_mut(&home) {
            peer.request.tasks = peer.request.tasks.saturating_sub(tasks);
            peer.request.held = peer.request.held.saturating_add(tasks);
        }
    }

    /// Returns the capacity, in tasks, that this entry should hold while others request some too:
    /// its part of what all of them hold, by the weights of the firms and by the number of each
    /// firm's jobs at each entry.
    pub(super) fn target(
        &self,
        held: u32,
        demand: &[Demand],
        weight: impl Fn(FirmId) -> Weight,
    ) -> u32 {
        let requests =
            || self.peer_requests.values().filter(|peer| !peer.remote).map(|peer| &peer.request);
        let total = requests().fold(held, |sum, request| sum.saturating_add(request.held));
        let mut jobs: FxHashMap<FirmId, (u32, u32)> = FxHashMap::default();
        for firm_demand in demand {
            let (own, all) = jobs.entry(firm_demand.firm).or_default();
            *own = own.saturating_add(firm_demand.jobs);
            *all = all.saturating_add(firm_demand.jobs);
        }
        for firm_demand in requests().flat_map(|request| &request.demand) {
            let (_, all) = jobs.entry(firm_demand.firm).or_default();
            *all = all.saturating_add(firm_demand.jobs);
        }
        let weights: u64 = jobs.keys().map(|firm| u64::from(weight(*firm).0)).sum();
        if weights == 0 {
            return held;
        }
        let part: f64 = jobs
            .iter()
            .filter(|(_, (_, all))| *all > 0)
            .map(|(firm, (own, all))| {
                f64::from(weight(*firm).0) * f64::from(*own) / f64::from(*all)
            })
            .sum();
        (f64::from(total) * part / weights as f64).round() as u32
    }
}
