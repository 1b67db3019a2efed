//! Who keeps, lends and borrows which capacity.

use crate::message::{CapacityRequest, Demand, Grant};
use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, FirmId, Home},
    unit::{Resources, Time, Weight},
};

/// An endpoint that this entry keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct Kept {
    /// All that the endpoint offers.
    pub(super) capacity: Resources,
    /// What is lent of it. The sum may exceed the capacity after a change of members; then
    /// nothing is free until enough came back.
    pub(super) lent: Vec<(Home, Resources)>,
}

impl Kept {
    /// What is not lent.
    pub(super) fn own(&self) -> Resources {
        self.lent.iter().fold(self.capacity, |left, (_, lent)| left.minus(lent))
    }

    /// Notes capacity as lent.
    pub(super) fn lend(&mut self, to: Home, resources: &Resources) {
        match self.lent.iter_mut().find(|(home, _)| *home == to) {
            Some((_, lent)) => *lent = lent.plus(resources),
            None => self.lent.push((to, *resources)),
        }
    }

    /// Notes capacity as given back.
    pub(super) fn take_back(&mut self, from: Home, resources: &Resources) {
        if let Some((_, lent)) = self.lent.iter_mut().find(|(home, _)| *home == from) {
            *lent = lent.minus(resources);
        }
        self.lent.retain(|(_, lent)| *lent != Resources::default());
    }
}

/// An endpoint of which this entry has borrowed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Borrowed {
    /// Who lent it.
    pub(super) keeper: Home,
    /// How much.
    pub(super) resources: Resources,
    /// To be given back as soon as it is idle.
    pub(super) recalled: bool,
}

/// A wish that another entry has sent.
#[derive(Clone, Debug)]
pub(super) struct PeerRequest {
    pub(super) request: CapacityRequest,
    /// Forgotten then.
    pub(super) until: Time,
    /// From another cluster: gets only what is idle.
    pub(super) remote: bool,
}

/// The wish that this entry has sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnRequest {
    /// Tasks wished for.
    pub(super) tasks: u32,
    /// When it was sent first.
    pub(super) first_sent: Time,
    /// When it was sent last.
    pub(super) last_sent: Time,
    /// Whether other data centres were asked too.
    pub(super) remote: bool,
}

/// Capacity on its way to others, sent together.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Lent by this entry as keeper.
    pub(super) lend: FxHashMap<Home, Vec<Grant>>,
    /// Given back to the keepers.
    pub(super) give_back: FxHashMap<Home, Vec<Grant>>,
    /// Sent no later than this; `None` when empty.
    pub(super) due: Option<Time>,
}

impl Outbox {
    /// Adds capacity that is lent.
    pub(super) fn lend(&mut self, to: Home, grant: Grant) {
        self.lend.entry(to).or_default().push(grant);
    }

    /// Adds capacity that goes back to its keeper.
    pub(super) fn add_back(&mut self, keeper: Home, grant: Grant) {
        self.give_back.entry(keeper).or_default().push(grant);
    }

    /// Has it sent by `time` at the latest.
    pub(super) fn flush_by(&mut self, time: Time) {
        self.due = Some(self.due.map_or(time, |due| due.min(time)));
    }
}

/// The accounts of one pool.
#[derive(Debug, Default)]
pub(super) struct Share {
    pub(super) kept: FxHashMap<EndpointId, Kept>,
    pub(super) borrowed: FxHashMap<EndpointId, Borrowed>,
    pub(super) peer_requests: FxHashMap<Home, PeerRequest>,
    pub(super) own_request: Option<OwnRequest>,
    pub(super) outbox: Outbox,
    /// Other live entries of the cluster.
    pub(super) neighbours: Vec<Home>,
    /// Those of them that keep endpoints.
    pub(super) lenders: Vec<Home>,
    /// Live entries of other clusters with a link.
    pub(super) distant: Vec<Home>,
    /// Sum of the capacity that this entry may use.
    pub(super) held: Resources,
    /// Sum of the capacity of the cluster.
    pub(super) local: Resources,
    /// What `held` counts of each endpoint.
    pub(super) usable_by_endpoint: FxHashMap<EndpointId, Resources>,
    /// Capacity, in tasks, that is to go to neighbours as it becomes free. Set by each wish.
    pub(super) owed: u32,
}

impl Share {
    /// Endpoints that this entry may use now or used lately.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.kept.keys().chain(self.borrowed.keys()).copied()
    }

    /// What this entry may use of an endpoint.
    pub(super) fn usable(&self, endpoint: EndpointId) -> Resources {
        match (self.kept.get(&endpoint), self.borrowed.get(&endpoint)) {
            (Some(kept), _) => kept.own(),
            (None, Some(borrowed)) => borrowed.resources,
            (None, None) => Resources::default(),
        }
    }

    /// Forgets wishes that are too old or served.
    pub(super) fn expire_requests(&mut self, now: Time) {
        self.peer_requests.retain(|_, peer| peer.until > now && peer.request.tasks > 0);
    }

    /// Notes that a wish was served in part.
    pub(super) fn record_served(&mut self, home: Home, tasks: u32) {
        if let Some(peer) = self.peer_requests.get_mut(&home) {
            peer.request.tasks = peer.request.tasks.saturating_sub(tasks);
            peer.request.held = peer.request.held.saturating_add(tasks);
        }
    }

    /// Capacity, in tasks, that this entry should hold while others want some too: its part of
    /// what all of them hold, by the weights of the firms and by each firm's jobs.
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
