//! Data centres, the links between them, and the site that holds them all.

use crate::{
    Contract, Executor, Firm, Operator, Policy, Service, Worker,
    id::{DataCentreId, EndpointId, FirmId, OperatorId, ServiceId},
    unit::Span,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DataCentre {
    /// Name, unique among the data centres of the site.
    pub name: CompactString,
    /// Name of the region it is in.
    pub region: CompactString,
}

/// The network link between two data centres.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Link {
    /// Names of the two data centres at its ends, which differ.
    pub between: [CompactString; 2],
    /// One-way latency.
    pub latency: Span,
}

/// All objects that the settings of one installation describe.
///
/// Every reference between its members is valid; `settings` checks this before it creates a site.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Site {
    /// The trade-off between response time and number of messages.
    pub policy: Policy,
    /// Data centres by identifier.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Links, at most one for each pair of data centres.
    pub links: Vec<Link>,
    /// Services by identifier.
    pub services: BTreeMap<ServiceId, Service>,
    /// Executors by identifier; disjoint from the identifiers of workers.
    pub executors: BTreeMap<EndpointId, Executor>,
    /// Workers by identifier; disjoint from the identifiers of executors.
    pub workers: BTreeMap<EndpointId, Worker>,
    /// Firms by identifier.
    pub firms: BTreeMap<FirmId, Firm>,
    /// Contracts: which firm may use which service, and with what quota.
    pub contracts: Vec<Contract>,
    /// Operators, who may change the settings, by identifier.
    pub operators: BTreeMap<OperatorId, Operator>,
}

impl Site {
    /// Returns the one-way latency between two data centres; zero within one, `None` without a
    /// link.
    pub fn latency(&self, a: DataCentreId, b: DataCentreId) -> Option<Span> {
        if a == b {
            return Some(Span::ZERO);
        }
        self.links
            .iter()
            .find(|link| {
                let [x, y] = link.between.each_ref().map(|name| DataCentreId::of(name));
                (x, y) == (a, b) || (x, y) == (b, a)
            })
            .map(|link| link.latency)
    }
}
