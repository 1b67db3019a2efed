//! Typed objects of the merged settings before their references are checked.

use crate::{
    de::{object, typed},
    location::Path,
    report::Findings,
    section::Section,
    source::Origin,
    tree::{Members, Node, Value},
};
use compact_str::CompactString;
use serde::de::DeserializeOwned;
use site::{
    Contract, DataCentre, Executor, Firm, Link, Operator, Policy, Service, Site, Worker,
    id::{DataCentreId, EndpointId, FirmId, OperatorId, ServiceId},
};
use std::collections::BTreeMap;

/// Objects by name.
pub(super) type Named<T> = BTreeMap<CompactString, T>;

/// Objects that deserialize without an error, and the values they were read from.
pub(super) struct Draft<'a> {
    root: &'a Members,
    pub(super) policy: Policy,
    pub(super) data_centres: Named<DataCentre>,
    pub(super) links: Named<Link>,
    pub(super) services: Named<Service>,
    pub(super) executors: Named<Executor>,
    pub(super) workers: Named<Worker>,
    pub(super) firms: Named<Firm>,
    pub(super) contracts: Named<Contract>,
    pub(super) operators: Named<Operator>,
}

impl<'a> Draft<'a> {
    /// Deserializes every object. Missing fields are errors if the settings are `complete`.
    pub(super) fn read(root: &'a Members, complete: bool, findings: &mut Findings) -> Self {
        let mut reader = Reader { root, complete, findings };
        Draft {
            root,
            policy: reader.policy(),
            data_centres: reader.objects(Section::DataCentres),
            links: reader.objects(Section::Links),
            services: reader.objects(Section::Services),
            executors: reader.objects(Section::Executors),
            workers: reader.objects(Section::Workers),
            firms: reader.objects(Section::Firms),
            contracts: reader.objects(Section::Contracts),
            operators: reader.objects(Section::Operators),
        }
    }

    /// Returns the names in `section`, including those of objects with errors.
    pub(super) fn names(
        &self,
        section: Section,
    ) -> impl Iterator<Item = &'a CompactString> + use<'a> {
        members(self.root, section).into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns whether `section` contains `name`, with or without errors.
    pub(super) fn has(&self, section: Section, name: &str) -> bool {
        members(self.root, section).is_some_and(|members| members.contains_key(name))
    }

    /// Returns the position of an object's key, and its path.
    pub(super) fn object(&self, section: Section, name: &str) -> (Origin, Path) {
        let path = Path::of([section.key(), name]);
        (self.node(&path).map_or(Origin::default(), |node| node.key), path)
    }

    /// Returns the position of an object's field, or of the object's key if the field is absent,
    /// and the field's path.
    pub(super) fn field(&self, section: Section, name: &str, fields: &[&str]) -> (Origin, Path) {
        let (object, path) = self.object(section, name);
        let path = fields.iter().fold(path, |path, field| path.join(field));
        (self.node(&path).map_or(object, |node| node.at), path)
    }

    /// Returns the keys of the elements of a list, whether given as a list or as an object.
    pub(super) fn labels(&self, section: Section, name: &str, field: &str) -> Vec<CompactString> {
        let path = Path::of([section.key(), name, field]);
        match self.node(&path).map(|node| &node.value) {
            Some(Value::Object(members)) => members.keys().cloned().collect(),
            Some(Value::List(items)) => (0..items.len()).map(|i| i.to_string().into()).collect(),
            _ => Vec::new(),
        }
    }

    fn node(&self, path: &Path) -> Option<&'a Node> {
        let (section, rest) = path.0.split_first()?;
        self.root.get(section)?.get(rest)
    }

    /// Converts the draft to a site. The site is valid only if there are no errors.
    pub(super) fn into_site(self) -> Site {
        let mut links: Vec<_> = self.links.into_values().collect();
        links.sort_by_cached_key(ends);
        let mut contracts: Vec<_> = self.contracts.into_values().collect();
        contracts.sort_by(|a, b| (&a.firm, &a.service).cmp(&(&b.firm, &b.service)));
        Site {
            policy: self.policy,
            data_centres: by_id(self.data_centres, DataCentreId::of),
            links,
            services: by_id(self.services, ServiceId::of),
            executors: by_id(self.executors, EndpointId::of),
            workers: by_id(self.workers, EndpointId::of),
            firms: by_id(self.firms.into_iter().map(sorted_firm), FirmId::of),
            contracts,
            operators: by_id(self.operators.into_iter().map(sorted_operator), OperatorId::of),
        }
    }
}

/// Returns the ends of a link in the order of their names.
pub(super) fn ends(link: &Link) -> [CompactString; 2] {
    let mut ends = link.between.clone();
    ends.sort();
    ends
}

fn sorted_firm((name, mut firm): (CompactString, Firm)) -> (CompactString, Firm) {
    firm.crews.sort_by(|a, b| a.name.cmp(&b.name));
    firm.key_digests.sort();
    (name, firm)
}

fn sorted_operator((name, mut operator): (CompactString, Operator)) -> (CompactString, Operator) {
    operator.key_digests.sort();
    (name, operator)
}

fn by_id<I: Ord, T>(
    objects: impl IntoIterator<Item = (CompactString, T)>,
    id: impl Fn(&str) -> I,
) -> BTreeMap<I, T> {
    objects.into_iter().map(|(name, object)| (id(&name), object)).collect()
}

fn members(root: &Members, section: Section) -> Option<&Members> {
    match &root.get(section.key())?.value {
        Value::Object(members) => Some(members),
        _ => None,
    }
}

struct Reader<'a, 'f> {
    root: &'a Members,
    complete: bool,
    findings: &'f mut Findings,
}

impl Reader<'_, '_> {
    fn policy(&mut self) -> Policy {
        let path = Path::of([Section::Policy.key()]);
        let node = self.root.get(path.0[0].as_str());
        node.and_then(|node| typed(node, &path, self.findings)).unwrap_or_default()
    }

    fn objects<T: DeserializeOwned>(&mut self, section: Section) -> Named<T> {
        let members = members(self.root, section).into_iter().flatten();
        members
            .filter_map(|(name, node)| Some((name.clone(), self.object(section, name, node)?)))
            .collect()
    }

    fn object<T: DeserializeOwned>(
        &mut self,
        section: Section,
        name: &CompactString,
        node: &Node,
    ) -> Option<T> {
        let path = Path::of([section.key(), name]);
        if self.complete {
            return object(node, &path, section.required(), self.findings);
        }
        let mut found = Findings::default();
        let object = typed(node, &path, &mut found);
        found.drop_absences();
        self.findings.append(found);
        object
    }
}
