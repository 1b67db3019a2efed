//! Derives the state of entries and endpoints from the platform's list of VMs, which may lag
//! behind. Does no I/O.

use platform::vms::{State, Vm};
use site::{
    Site,
    id::{EndpointId, EntryId},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
};

/// The platform's list of VMs, by name.
pub type Vms = BTreeMap<String, Vm>;

/// State that the decision logic is notified of.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Entries whose VM was listed before and no longer is.
    pub gone: Vec<EntryId>,
    /// Endpoints on VMs that the list marks as leaving.
    pub leaving: Vec<EndpointId>,
}

/// Remembers which VMs were ever listed: a VM that is not listed yet is not gone.
#[derive(Debug, Default)]
pub struct VmHistory {
    seen: BTreeSet<EntryId>,
}

impl VmHistory {
    /// Compares the whole list with the VMs seen before.
    pub fn update(&mut self, vms: &Vms, site: &Site) -> Changes {
        let listed: BTreeSet<EntryId> = vms.keys().map(|name| EntryId::of(name)).collect();
        let gone = self.seen.difference(&listed).copied().collect();
        self.seen.extend(&listed);
        Changes { gone, leaving: leaving(vms, site) }
    }
}

/// Returns the endpoints that have the name or the address of a leaving VM.
fn leaving(vms: &Vms, site: &Site) -> Vec<EndpointId> {
    let leaving: Vec<_> = vms.iter().filter(|(_, vm)| vm.state == State::Leaving).collect();
    let is_on = |name: &str, address: SocketAddr| {
        leaving.iter().any(|(vm, at)| *vm == name || same_host(at.address, address))
    };
    let executors = site.executors.iter().map(|(id, e)| (*id, e.name.as_str(), e.address));
    let workers = site.workers.iter().map(|(id, w)| (*id, w.name.as_str(), w.address));
    executors
        .chain(workers)
        .filter(|(_, name, address)| is_on(name, *address))
        .map(|(id, _, _)| id)
        .collect()
}

/// Returns whether an endpoint's address is that of the VM. Loopback addresses identify no VM.
fn same_host(vm: IpAddr, endpoint: SocketAddr) -> bool {
    vm == endpoint.ip() && !vm.is_loopback()
}
