//! Checks that names, identifiers, addresses, keys and pairs are unique.

use super::draft::{Draft, ends};
use crate::{
    location::Path,
    report::{Findings, Reason},
    section::Section,
    source::Origin,
};
use compact_str::CompactString;
use site::id::EndpointId;
use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
};

const KEY_DIGESTS: &str = "key-digests";

/// Sections whose objects have identifiers derived from their names.
const IDENTIFIED: [Section; 6] = [
    Section::DataCentres,
    Section::Services,
    Section::Executors,
    Section::Workers,
    Section::Firms,
    Section::Operators,
];

/// Returns the pairs of different names with the same identifier, the later name first.
pub fn collisions<'a>(
    names: impl IntoIterator<Item = &'a str>,
    id: impl Fn(&str) -> u64,
) -> Vec<(&'a str, &'a str)> {
    let mut owners = BTreeMap::new();
    let owned = |name| Some((name, *owners.entry(id(name)).or_insert(name)));
    names.into_iter().filter_map(owned).filter(|(name, other)| name != other).collect()
}

pub(super) fn check(draft: &Draft<'_>, findings: &mut Findings) {
    let mut checker = Checker { draft, findings };
    checker.addresses();
    checker.endpoint_names();
    checker.identifiers();
    checker.crews();
    checker.racks();
    checker.links();
    checker.contracts();
    checker.keys();
}

struct Checker<'a> {
    draft: &'a Draft<'a>,
    findings: &'a mut Findings,
}

impl Checker<'_> {
    fn addresses(&mut self) {
        let executors =
            self.draft.executors.iter().map(|(n, e)| (Section::Executors, n, e.address));
        let workers = self.draft.workers.iter().map(|(n, w)| (Section::Workers, n, w.address));
        let mut owners = BTreeMap::<SocketAddr, _>::new();
        for (section, name, address) in executors.chain(workers) {
            self.require_unique(&mut owners, address, (section, name), |draft, owner| {
                let (section_of_owner, name_of_owner) = *owner;
                let other = draft.object(section_of_owner, name_of_owner).1;
                (draft.field(section, name, &["address"]), Reason::Address { other })
            });
        }
    }

    fn endpoint_names(&mut self) {
        for name in self.draft.names(Section::Workers) {
            if self.draft.has(Section::Executors, name) {
                let other = Path::of([Section::Executors.key(), name]);
                let (origin, path) = self.draft.object(Section::Workers, name);
                self.findings.error(origin, path, Reason::SharedName { other });
            }
        }
    }

    fn identifiers(&mut self) {
        for section in IDENTIFIED {
            let names = self.draft.names(section).map(CompactString::as_str);
            for (name, other) in collisions(names, identifier) {
                let (origin, path) = self.draft.object(section, name);
                self.findings.error(origin, path, Reason::Collision { other: other.into() });
            }
        }
        let executors = self.draft.names(Section::Executors);
        let endpoints = executors.chain(self.draft.names(Section::Workers));
        for (name, other) in collisions(endpoints.map(CompactString::as_str), identifier) {
            if self.draft.has(Section::Workers, name) && self.draft.has(Section::Executors, other) {
                let (origin, path) = self.draft.object(Section::Workers, name);
                self.findings.error(origin, path, Reason::Collision { other: other.into() });
            }
        }
    }

    fn crews(&mut self) {
        for (name, firm) in &self.draft.firms {
            let crews = firm.crews.iter().map(|crew| crew.name.as_str());
            for (crew, other) in collisions(crews, identifier) {
                let (origin, path) = self.draft.field(Section::Firms, name, &["crews", crew]);
                self.findings.error(origin, path, Reason::Collision { other: other.into() });
            }
        }
    }

    fn racks(&mut self) {
        let mut data_centres = BTreeMap::new();
        let racks = self.draft.workers.values().map(|worker| worker.rack.as_str());
        let collisions: BTreeMap<_, _> = collisions(racks, identifier).into_iter().collect();
        for (name, worker) in &self.draft.workers {
            if let Some(other) = collisions.get(worker.rack.as_str()) {
                self.rack(name, Reason::Collision { other: (*other).into() });
            }
            let data_centre = *data_centres.entry(&worker.rack).or_insert(&worker.data_centre);
            if *data_centre != worker.data_centre {
                let rack = worker.rack.clone();
                self.rack(name, Reason::Rack { rack, other: data_centre.clone() });
            }
        }
    }

    fn rack(&mut self, worker: &str, reason: Reason) {
        let (origin, path) = self.draft.field(Section::Workers, worker, &["rack"]);
        self.findings.error(origin, path, reason);
    }

    fn links(&mut self) {
        let mut owners = BTreeMap::new();
        for (name, link) in &self.draft.links {
            let [a, b] = ends(link);
            if a == b {
                let (origin, path) = self.draft.field(Section::Links, name, &["between"]);
                self.findings.error(origin, path, Reason::Loop { end: a });
                continue;
            }
            self.require_unique(&mut owners, [a, b], name, |draft, owner| {
                let other = draft.object(Section::Links, owner).1;
                (draft.field(Section::Links, name, &["between"]), Reason::LinkTwin { other })
            });
        }
    }

    fn contracts(&mut self) {
        let mut owners = BTreeMap::new();
        for (name, contract) in &self.draft.contracts {
            let pair = (&contract.firm, &contract.service);
            self.require_unique(&mut owners, pair, name, |draft, owner| {
                let other = draft.object(Section::Contracts, owner).1;
                (draft.object(Section::Contracts, name), Reason::ContractTwin { other })
            });
        }
    }

    fn keys(&mut self) {
        let firms = self.draft.firms.iter().map(|(n, f)| (Section::Firms, n, &f.key_digests));
        let operators =
            self.draft.operators.iter().map(|(n, o)| (Section::Operators, n, &o.key_digests));
        let mut owners = BTreeMap::new();
        for (section, name, digests) in firms.chain(operators) {
            let labels = self.draft.labels(section, name, KEY_DIGESTS);
            for (label, digest) in labels.iter().zip(digests) {
                let owner = (section, name, label.clone());
                self.require_unique(
                    &mut owners,
                    digest,
                    owner,
                    |draft, (section_of_owner, owner, key)| {
                        let other = draft.field(*section_of_owner, owner, &[KEY_DIGESTS, key]).1;
                        let place = draft.field(section, name, &[KEY_DIGESTS, label]);
                        (place, Reason::SharedKey { other })
                    },
                );
            }
        }
    }

    /// Records `owner` as the owner of `value`, or adds the result of `finding` if it has another
    /// owner.
    fn require_unique<T: Ord, O>(
        &mut self,
        owners: &mut BTreeMap<T, O>,
        value: T,
        owner: O,
        finding: impl FnOnce(&Draft<'_>, &O) -> ((Origin, Path), Reason),
    ) {
        match owners.entry(value) {
            Entry::Vacant(free) => drop(free.insert(owner)),
            Entry::Occupied(other) => {
                let ((origin, path), reason) = finding(self.draft, other.get());
                self.findings.error(origin, path, reason);
            }
        }
    }
}

/// Returns the identifier of a name. All kinds of identifiers use the same hash; see [`site::id`].
fn identifier(name: &str) -> u64 {
    EndpointId::of(name).0
}
