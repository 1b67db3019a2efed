//! Warnings about settings that are valid but probably not intended.

use super::draft::Draft;
use crate::{
    report::{Findings, Reason},
    section::Section,
};
use compact_str::CompactString;
use site::{
    Service, Worker,
    service::Place,
    unit::{Resources, Slots},
};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(draft: &Draft<'_>, findings: &mut Findings) {
    let slots = slots(draft);
    quotas(draft, &slots, findings);
    endpoints(draft, &slots, findings);
    firms(draft, findings);
    links(draft, findings);
}

/// Returns the slots of the executors of each service. Services without an executor are left out.
fn slots<'a>(draft: &'a Draft<'_>) -> BTreeMap<&'a CompactString, Slots> {
    let mut slots = BTreeMap::new();
    for executor in draft.executors.values() {
        let default = draft.services.get(&executor.service).map(|service| service.slots);
        let own = executor.slots.or(default).unwrap_or_default();
        *slots.entry(&executor.service).or_default() += own;
    }
    slots
}

fn quotas(draft: &Draft<'_>, slots: &BTreeMap<&CompactString, Slots>, findings: &mut Findings) {
    for (name, contract) in &draft.contracts {
        let Some(quota) = contract.quota else { continue };
        let Some(&capacity) = slots.get(&contract.service) else { continue };
        if quota > capacity {
            let (origin, path) = draft.field(Section::Contracts, name, &["quota"]);
            findings.error(origin, path, Reason::Quota { quota, capacity });
        }
    }
}

fn endpoints(draft: &Draft<'_>, slots: &BTreeMap<&CompactString, Slots>, findings: &mut Findings) {
    for (name, service) in &draft.services {
        let runs = match service.place {
            Place::Executors => slots.contains_key(name),
            Place::Workers => draft.workers.values().any(|worker| fits(worker, service)),
        };
        if !runs {
            let (origin, path) = draft.object(Section::Services, name);
            findings.error(origin, path, Reason::NoEndpoint { service: name.clone() });
        }
    }
}

fn fits(worker: &Worker, service: &Service) -> bool {
    let offer = Resources {
        slots: Slots(u32::MAX),
        cores: worker.cores,
        memory: worker.memory,
        accelerators: worker.accelerators,
    };
    offer.fits(&service.needs)
}

fn firms(draft: &Draft<'_>, findings: &mut Findings) {
    let bound: BTreeSet<_> = draft.contracts.values().map(|contract| &contract.firm).collect();
    for name in draft.firms.keys().filter(|name| !bound.contains(name)) {
        let (origin, path) = draft.object(Section::Firms, name);
        findings.error(origin, path, Reason::NoContract);
    }
}

fn links(draft: &Draft<'_>, findings: &mut Findings) {
    let linked: BTreeSet<_> = draft.links.values().flat_map(|link| &link.between).collect();
    if draft.data_centres.len() < 2 {
        return;
    }
    for name in draft.data_centres.keys().filter(|name| !linked.contains(name)) {
        let (origin, path) = draft.object(Section::DataCentres, name);
        findings.error(origin, path, Reason::NoLink);
    }
}
