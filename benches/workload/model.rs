//! The two sites, as settings of the decision logic.

use crate::case::Fault;
use clap::ValueEnum;
use dispatch::entry::DEFAULT_SLOTS_PER_LEAD;
use serde_json::{from_value, json};
use site::{
    Contract, DataCentre, Link, Policy, Site,
    id::{DataCentreId, EndpointId, EntryId, FirmId, Home, Incarnation, ServiceId},
    policy::Priority,
    service::Place,
    unit::{Cores, Memory, Resources, Span},
};

/// Number of entry VMs of a site.
pub(crate) const ENTRIES: usize = 8;
/// Number of executors or workers of a site.
pub(crate) const ENDPOINTS: usize = 50;
/// Number of tasks that an executor runs concurrently.
pub(crate) const SLOTS: u32 = 8;
/// One-way latency inside a data centre.
pub(crate) const INTRA_DC_LATENCY: Span = Span(200);
/// One-way latency between data centres.
pub(crate) const INTER_DC_LATENCY: Span = Span(1_400);

/// One of today's two sites.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(crate) enum Name {
    Kovacik,
    Clydeside,
}

/// A site's size and settings.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    pub(crate) name: Name,
    pub(crate) place: Place,
    pub(crate) data_centres: usize,
    /// Weight of each firm.
    pub(crate) weights: Vec<u32>,
    /// Cores and memory of a worker.
    pub(crate) worker: Resources,
    /// Number of workers in a rack.
    workers_per_rack: usize,
    prefer: Priority,
    pub(crate) slots_per_lead: u32,
}

impl Model {
    pub(crate) fn new(name: Name, place: Place, faults: &[Fault]) -> Model {
        let (data_centres, firms, cores, memory, workers_per_rack, prefer) = match name {
            Name::Kovacik => (3, 4, 64, 256, 8, Priority::ResponseTime),
            Name::Clydeside => (4, 3, 16, 32, 6, Priority::Messages),
        };
        let worker = Resources {
            cores: Cores(cores * 1_000),
            memory: Memory(memory << 30),
            ..Resources::default()
        };
        let weights = match faults.contains(&Fault::Fair) {
            true => vec![1, 1, 2, 4],
            false => vec![1; firms],
        };
        let slots_per_lead = DEFAULT_SLOTS_PER_LEAD;
        Model {
            name,
            place,
            data_centres,
            weights,
            worker,
            workers_per_rack,
            prefer,
            slots_per_lead,
        }
    }

    fn dc_name(&self, i: usize) -> String {
        format!("dc-{}", i % self.data_centres)
    }

    fn data_centre(&self, i: usize) -> DataCentreId {
        DataCentreId::of(&self.dc_name(i))
    }

    pub(crate) fn service() -> ServiceId {
        ServiceId::of("check")
    }

    pub(crate) fn firm(i: usize) -> FirmId {
        FirmId::of(&format!("firm-{i}"))
    }

    pub(crate) fn endpoint(i: usize) -> EndpointId {
        EndpointId::of(&format!("endpoint-{i}"))
    }

    pub(crate) fn home(&self, i: usize) -> Home {
        let entry = EntryId::of(&format!("entry-{i}"));
        Home { data_centre: self.data_centre(i), entry, incarnation: Incarnation(i as u64 + 1) }
    }

    /// Returns the one-way latency between two entries or endpoints.
    pub(crate) fn distance(&self, a: usize, b: usize) -> Span {
        if a % self.data_centres == b % self.data_centres {
            INTRA_DC_LATENCY
        } else {
            INTER_DC_LATENCY
        }
    }

    /// Returns whether a cut-off data centre separates the two entries or endpoints.
    pub(crate) fn is_cut(&self, cut: Option<usize>, a: usize, b: usize) -> bool {
        let inside = |i: usize| Some(i % self.data_centres) == cut;
        inside(a) != inside(b)
    }

    pub(crate) fn site(&self) -> Site {
        let mut site = Site { policy: Policy { prefer: self.prefer }, ..Site::default() };
        let service = json!({ "name": "check", "place": self.place });
        site.services.insert(Self::service(), from_value(service).expect("a service"));
        for i in 0..self.data_centres {
            let dc = DataCentre { name: self.dc_name(i).into(), region: "one".into() };
            site.data_centres.insert(self.data_centre(i), dc);
            for j in 0..i {
                let between = [self.dc_name(i).into(), self.dc_name(j).into()];
                site.links.push(Link { between, latency: INTER_DC_LATENCY });
            }
        }
        for i in 0..ENDPOINTS {
            self.add_endpoint(&mut site, i);
        }
        for (i, weight) in self.weights.iter().enumerate() {
            let name = format!("firm-{i}");
            let firm = json!({ "name": name, "weight": weight });
            site.firms.insert(Self::firm(i), from_value(firm).expect("a firm"));
            let contract = Contract { firm: name.into(), service: "check".into(), quota: None };
            site.contracts.push(contract);
        }
        site
    }

    fn add_endpoint(&self, site: &mut Site, i: usize) {
        let mut endpoint = json!({
            "name": format!("endpoint-{i}"),
            "data-centre": self.dc_name(i),
            "address": format!("127.0.0.1:{}", 1_000 + i),
        });
        match self.place {
            Place::Executors => {
                endpoint["service"] = json!("check");
                endpoint["slots"] = json!(SLOTS);
                let executor = from_value(endpoint).expect("an executor");
                site.executors.insert(Self::endpoint(i), executor);
            }
            Place::Workers => {
                endpoint["rack"] = json!(format!("rack-{}", i / self.workers_per_rack));
                endpoint["cores"] = json!(self.worker.cores);
                endpoint["memory"] = json!(self.worker.memory);
                let worker = from_value(endpoint).expect("a worker");
                site.workers.insert(Self::endpoint(i), worker);
            }
        }
    }
}
