//! Names of objects by identifier, for log lines.

use compact_str::CompactString;
use site::{
    Site,
    id::{DataCentreId, EndpointId, FirmId, ServiceId},
};
use std::collections::HashMap;

/// Names of a site's objects by identifier.
///
/// Identifiers of all kinds of objects are hashes of names in one number space, and `settings`
/// rejects collisions only within a kind, so each kind has its own map.
#[derive(Clone, Debug, Default)]
pub struct Names {
    data_centres: HashMap<u64, CompactString>,
    endpoints: HashMap<u64, CompactString>,
    firms: HashMap<u64, CompactString>,
    services: HashMap<u64, CompactString>,
}

impl Names {
    /// Returns the names of the objects in `site`.
    pub fn of(site: &Site) -> Names {
        let executors = site.executors.iter().map(|(id, e)| (id.0, e.name.clone()));
        let workers = site.workers.iter().map(|(id, w)| (id.0, w.name.clone()));
        Names {
            data_centres: site.data_centres.iter().map(|(id, d)| (id.0, d.name.clone())).collect(),
            endpoints: executors.chain(workers).collect(),
            firms: site.firms.iter().map(|(id, f)| (id.0, f.name.clone())).collect(),
            services: site.services.iter().map(|(id, s)| (id.0, s.name.clone())).collect(),
        }
    }

    /// Returns the name of a data centre.
    pub fn data_centre(&self, id: DataCentreId) -> CompactString {
        find(&self.data_centres, id.0)
    }

    /// Returns the name of an executor or a worker.
    pub fn endpoint(&self, id: EndpointId) -> CompactString {
        find(&self.endpoints, id.0)
    }

    /// Returns the name of a firm.
    pub fn firm(&self, id: FirmId) -> CompactString {
        find(&self.firms, id.0)
    }

    /// Returns the name of a service.
    pub fn service(&self, id: ServiceId) -> CompactString {
        find(&self.services, id.0)
    }
}

/// Returns the name, or the identifier in hexadecimal if the settings no longer contain it.
fn find(names: &HashMap<u64, CompactString>, id: u64) -> CompactString {
    names.get(&id).cloned().unwrap_or_else(|| compact_str::format_compact!("{id:x}"))
}
