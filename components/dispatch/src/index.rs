//! The site as the decisions look it up.

use compact_str::CompactString;
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    Service, Site,
    id::{CrewId, DataCentreId, EndpointId, FirmId, RackId, ServiceId},
    policy::Priority,
    service::Place,
    submission::{Outcome, Reason, Submission},
    unit::{Resources, Revision, Slots, Span, Weight},
};
use std::{net::SocketAddr, sync::Arc};

/// Names the pool that all worker services share.
pub(crate) const WORKER_POOL: ServiceId = ServiceId(0);

/// Most tasks of one worker; its other resources are exhausted long before.
const WORKER_SLOTS: Slots = Slots(1_000);

/// Data centres with links up to this latency form one cluster: a task there costs its way, and
/// asking another entry for capacity costs more.
const MAX_CLUSTER_LATENCY: Span = Span::from_millis(2);

/// Processor capacity, in cores, that counts as a slot.
const CORES_PER_SLOT: u32 = 1;

/// An endpoint, resolved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResolvedEndpoint {
    /// The pool it belongs to.
    pub(crate) pool: ServiceId,
    /// Where it stands.
    pub(crate) data_centre: DataCentreId,
    /// Its rack; zero for executors.
    pub(crate) rack: RackId,
    /// All that it offers.
    pub(crate) capacity: Resources,
    /// Gets no new work.
    pub(crate) leaving: bool,
}

/// The site, indexed by what decisions ask for.
#[derive(Debug)]
pub(crate) struct Index {
    /// What is indexed.
    pub(crate) site: Arc<Site>,
    /// Its version.
    pub(crate) revision: Revision,
    /// Every endpoint.
    pub(crate) endpoints: FxHashMap<EndpointId, ResolvedEndpoint>,
    /// Different capacities that occur in each pool; few.
    capacities: FxHashMap<ServiceId, Vec<Resources>>,
    /// Endpoints of each pool.
    pub(crate) pools: FxHashMap<ServiceId, Vec<EndpointId>>,
    /// Quota of each contract.
    contracts: FxHashMap<(FirmId, ServiceId), Option<Slots>>,
    /// Crews of each firm.
    crews: FxHashSet<(FirmId, CrewId)>,
    /// One-way latency from the own data centre.
    latency: FxHashMap<DataCentreId, Span>,
    /// The own data centre and those near it, sorted. All of them agree on it.
    pub(crate) cluster: Vec<DataCentreId>,
    /// Entries that place tasks in the cluster, if there are as many.
    pub(crate) lead_count: usize,
}

impl Index {
    /// Indexes a site as seen from `own`.
    pub(crate) fn new(
        site: Arc<Site>,
        revision: Revision,
        own: DataCentreId,
        slots_per_lead: u32,
    ) -> Index {
        let endpoints = endpoints(&site);
        let mut pools: FxHashMap<ServiceId, Vec<EndpointId>> = FxHashMap::default();
        for service in site.services.values() {
            pools.entry(pool_of(service)).or_default();
        }
        let mut capacities: FxHashMap<ServiceId, Vec<Resources>> = FxHashMap::default();
        for (id, resolved) in &endpoints {
            pools.entry(resolved.pool).or_default().push(*id);
            let known = capacities.entry(resolved.pool).or_default();
            if !known.contains(&resolved.capacity) {
                known.push(resolved.capacity);
            }
        }
        let contracts = site
            .contracts
            .iter()
            .map(|c| ((FirmId::of(&c.firm), ServiceId::of(&c.service)), c.quota))
            .collect();
        let crews = site
            .firms
            .iter()
            .flat_map(|(id, firm)| firm.crews.iter().map(|crew| (*id, CrewId::of(&crew.name))))
            .collect();
        let latency = site
            .data_centres
            .keys()
            .filter_map(|dc| Some((*dc, site.latency(own, *dc)?)))
            .collect();
        let cluster = cluster(&site, own);
        let lead_count = lead_count(&endpoints, &cluster, slots_per_lead);
        Index {
            site,
            revision,
            endpoints,
            capacities,
            pools,
            contracts,
            crews,
            latency,
            cluster,
            lead_count,
        }
    }

    /// The pool that runs a service.
    pub(crate) fn pool(&self, service: ServiceId) -> Option<ServiceId> {
        self.site.services.get(&service).map(pool_of)
    }

    /// Where an endpoint accepts connections.
    pub(crate) fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        let executor = self.site.executors.get(&id).map(|executor| executor.address);
        executor.or_else(|| self.site.workers.get(&id).map(|worker| worker.address))
    }

    /// The name of an endpoint.
    pub(crate) fn name(&self, id: EndpointId) -> CompactString {
        let executor = self.site.executors.get(&id).map(|executor| executor.name.clone());
        let worker = || self.site.workers.get(&id).map(|worker| worker.name.clone());
        executor.or_else(worker).unwrap_or_default()
    }

    /// Whether some endpoint of a pool could hold a task when empty.
    pub(crate) fn could_fit(&self, pool: ServiceId, needs: &Resources) -> bool {
        self.capacities.get(&pool).into_iter().flatten().any(|capacity| capacity.fits(needs))
    }

    /// The trade that decisions follow.
    pub(crate) fn priority(&self) -> Priority {
        self.site.policy.prefer
    }

    /// One-way latency from the own data centre; `None` without a link.
    pub(crate) fn latency(&self, to: DataCentreId) -> Option<Span> {
        self.latency.get(&to).copied()
    }

    /// Weight of a firm; 1 when the settings don't name it.
    pub(crate) fn weight(&self, firm: FirmId) -> Weight {
        self.site.firms.get(&firm).map_or(Weight(1), |firm| firm.weight)
    }

    /// Weight of each firm.
    pub(crate) fn weights(&self) -> impl Iterator<Item = (FirmId, Weight)> {
        self.site.firms.iter().map(|(id, firm)| (*id, firm.weight))
    }

    /// Quota of each firm with a contract for `pool`, summed over the pool's services.
    pub(crate) fn quotas(&self, pool: ServiceId) -> FxHashMap<FirmId, Option<Slots>> {
        let mut quotas = FxHashMap::default();
        for ((firm, service), quota) in &self.contracts {
            if self.pool(*service) != Some(pool) {
                continue;
            }
            let sum = quotas.entry(*firm).or_insert(Some(Slots(0)));
            *sum = sum.zip(*quota).map(|(a, b)| a + b);
        }
        quotas
    }

    /// Checks what the settings demand of a submission.
    pub(crate) fn check(&self, submission: &Submission) -> Result<(), (Outcome, Reason)> {
        let reject = |reason| Err((Outcome::NotRun, reason));
        let Some(service) = self.site.services.get(&submission.service) else {
            return reject(Reason::NoContract);
        };
        if !self.contracts.contains_key(&(submission.firm, submission.service)) {
            return reject(Reason::NoContract);
        }
        let crew = (submission.firm, submission.crew);
        if submission.crew != CrewId::default() && !self.crews.contains(&crew) {
            return reject(Reason::NoContract);
        }
        let tasks = submission.tasks.len();
        if tasks == 0 || tasks > site::submission::MAX_TASKS {
            return reject(Reason::Size);
        }
        let limit = service.body_limit.0;
        if submission.tasks.iter().any(|task| task.body.len() as u64 > limit) {
            return reject(Reason::Size);
        }
        Ok(())
    }
}

/// The pool that runs a service.
pub(crate) fn pool_of(service: &Service) -> ServiceId {
    match service.place {
        Place::Executors => ServiceId::of(&service.name),
        Place::Workers => WORKER_POOL,
    }
}

/// The data centres that are joined to `own` by links of small latency, directly or not.
fn cluster(site: &Site, own: DataCentreId) -> Vec<DataCentreId> {
    let near = site.links.iter().filter(|link| link.latency <= MAX_CLUSTER_LATENCY);
    let ends: Vec<_> =
        near.map(|link| link.between.each_ref().map(|name| DataCentreId::of(name))).collect();
    let mut cluster = vec![own];
    let mut next = 0;
    while let Some(dc) = cluster.get(next).copied() {
        next += 1;
        for [a, b] in &ends {
            let other = match (*a == dc, *b == dc) {
                (true, _) => *b,
                (_, true) => *a,
                _ => continue,
            };
            if !cluster.contains(&other) {
                cluster.push(other);
            }
        }
    }
    cluster.sort_unstable();
    cluster
}

fn lead_count(
    endpoints: &FxHashMap<EndpointId, ResolvedEndpoint>,
    cluster: &[DataCentreId],
    slots_per_lead: u32,
) -> usize {
    let near = endpoints.values().filter(|resolved| cluster.contains(&resolved.data_centre));
    let slots: u32 = near.map(slots).sum();
    slots.div_ceil(slots_per_lead.max(1)).max(1) as usize
}

fn slots(resolved: &ResolvedEndpoint) -> u32 {
    match resolved.pool {
        WORKER_POOL => resolved.capacity.cores.0 / 1_000 / CORES_PER_SLOT,
        _ => resolved.capacity.slots.0,
    }
}

fn endpoints(site: &Site) -> FxHashMap<EndpointId, ResolvedEndpoint> {
    let executors = site.executors.iter().map(|(id, executor)| {
        let service = ServiceId::of(&executor.service);
        let default = site.services.get(&service).map_or(Slots(0), |s| s.slots);
        let slots = executor.slots.unwrap_or(default);
        let resolved = ResolvedEndpoint {
            pool: service,
            data_centre: DataCentreId::of(&executor.data_centre),
            rack: RackId::default(),
            capacity: Resources { slots, ..Resources::default() },
            leaving: executor.leaving,
        };
        (*id, resolved)
    });
    let workers = site.workers.iter().map(|(id, worker)| {
        let resolved = ResolvedEndpoint {
            pool: WORKER_POOL,
            data_centre: DataCentreId::of(&worker.data_centre),
            rack: RackId::of(&worker.rack),
            capacity: Resources {
                slots: WORKER_SLOTS,
                cores: worker.cores,
                memory: worker.memory,
                accelerators: worker.accelerators,
            },
            leaving: worker.leaving,
        };
        (*id, resolved)
    });
    executors.chain(workers).collect()
}
