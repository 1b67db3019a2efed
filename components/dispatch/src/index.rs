//! Indexes the settings of a site for the lookups of the decision logic.

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

/// Identifier of the pool that all worker services share.
pub(crate) const WORKER_POOL: ServiceId = ServiceId(0);

/// Slots of each worker. A worker's other resources are exhausted long before.
const WORKER_SLOTS: Slots = Slots(1_000);

/// Maximum link latency within a cluster. Placing a task in another data centre then costs only the
/// latency, which is less than requesting capacity from another entry.
const MAX_CLUSTER_LATENCY: Span = Span::from_millis(2);

/// Number of processor cores of a worker that count as one slot.
const CORES_PER_SLOT: u32 = 1;

/// An endpoint with the settings of its service, location and capacity resolved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResolvedEndpoint {
    /// Pool that it belongs to.
    pub(crate) pool: ServiceId,
    /// Data centre that it is in.
    pub(crate) data_centre: DataCentreId,
    /// Rack; zero for executors.
    pub(crate) rack: RackId,
    /// Total capacity.
    pub(crate) capacity: Resources,
    /// Whether it is leaving and gets no new work.
    pub(crate) leaving: bool,
}

/// A site, indexed for the lookups of the decision logic.
#[derive(Debug)]
pub(crate) struct Index {
    /// The indexed settings.
    pub(crate) site: Arc<Site>,
    /// Revision of the settings.
    pub(crate) revision: Revision,
    /// All endpoints.
    pub(crate) endpoints: FxHashMap<EndpointId, ResolvedEndpoint>,
    /// Distinct endpoint capacities in each pool; there are few.
    capacities: FxHashMap<ServiceId, Vec<Resources>>,
    /// Endpoints of each pool.
    pub(crate) pools: FxHashMap<ServiceId, Vec<EndpointId>>,
    /// Quota of each contract; `None` without a limit.
    contracts: FxHashMap<(FirmId, ServiceId), Option<Slots>>,
    /// Crews of each firm.
    crews: FxHashSet<(FirmId, CrewId)>,
    /// One-way latency from the own data centre; data centres without a link are absent.
    latency: FxHashMap<DataCentreId, Span>,
    /// The own data centre and those near it, sorted. All of them compute the same list.
    pub(crate) cluster: Vec<DataCentreId>,
    /// Number of lead entries in the cluster, if it has that many entries.
    pub(crate) lead_count: usize,
}

impl Index {
    /// Indexes a site as seen from the data centre `own`.
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

    /// Returns the pool that runs a service; `None` when the settings don't contain it.
    pub(crate) fn pool(&self, service: ServiceId) -> Option<ServiceId> {
        self.site.services.get(&service).map(pool_of)
    }

    /// Returns the address on which an endpoint accepts connections.
    pub(crate) fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        let executor = self.site.executors.get(&id).map(|executor| executor.address);
        executor.or_else(|| self.site.workers.get(&id).map(|worker| worker.address))
    }

    /// Returns the name of an endpoint; empty when the settings don't contain it.
    pub(crate) fn name(&self, id: EndpointId) -> CompactString {
        let executor = self.site.executors.get(&id).map(|executor| executor.name.clone());
        let worker = || self.site.workers.get(&id).map(|worker| worker.name.clone());
        executor.or_else(worker).unwrap_or_default()
    }

    /// Returns whether some empty endpoint of a pool could hold a task with these `needs`.
    pub(crate) fn could_fit(&self, pool: ServiceId, needs: &Resources) -> bool {
        self.capacities.get(&pool).into_iter().flatten().any(|capacity| capacity.fits(needs))
    }

    /// Returns the policy's preference between response time and messages.
    pub(crate) fn priority(&self) -> Priority {
        self.site.policy.prefer
    }

    /// Returns the one-way latency from the own data centre; `None` without a link.
    pub(crate) fn latency(&self, to: DataCentreId) -> Option<Span> {
        self.latency.get(&to).copied()
    }

    /// Returns the weight of a firm; 1 when the settings don't contain it.
    pub(crate) fn weight(&self, firm: FirmId) -> Weight {
        self.site.firms.get(&firm).map_or(Weight(1), |firm| firm.weight)
    }

    /// Returns the weight of each firm.
    pub(crate) fn weights(&self) -> impl Iterator<Item = (FirmId, Weight)> {
        self.site.firms.iter().map(|(id, firm)| (*id, firm.weight))
    }

    /// Returns the quota of each firm with a contract for `pool`, summed over the pool's services.
    /// The sum is `None` when one of its contracts has no limit.
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

    /// Checks a submission against the settings: service, contract, crew, number of tasks and body
    /// size.
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

/// Returns the pool that runs a service.
pub(crate) fn pool_of(service: &Service) -> ServiceId {
    match service.place {
        Place::Executors => ServiceId::of(&service.name),
        Place::Workers => WORKER_POOL,
    }
}

/// Returns the data centres that are joined to `own`, directly or indirectly, by links of at most
/// [`MAX_CLUSTER_LATENCY`].
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
