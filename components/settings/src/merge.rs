//! Merges files by RFC 7396 (JSON Merge Patch), and expands numbered names.

use crate::{
    limit::MAX_VALUES,
    location::{Path, Trail},
    range::{self, Range},
    report::{Findings, Reason},
    section::Section,
    source::Origin,
    tree::{Members, Node, Value},
};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// The merged settings while files are being added.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    /// Sections by name.
    pub(crate) root: Members,
    values: usize,
}

impl Merged {
    /// Adds one file's `tree`. Returns false if the maximum number of values is exceeded.
    pub(crate) fn add(&mut self, tree: Node, findings: &mut Findings) -> bool {
        let Value::Object(sections) = tree.value else {
            let reason = expected_object(&tree.value);
            findings.error(tree.at, Path::default(), reason);
            return true;
        };
        sections.into_iter().all(|(name, node)| match name.parse::<Section>() {
            Ok(section) => self.add_section(section, name, node, findings),
            Err(_) => {
                findings.error(node.key, Path::default(), Reason::UnknownSection { name });
                true
            }
        })
    }

    fn add_section(
        &mut self,
        section: Section,
        name: CompactString,
        node: Node,
        findings: &mut Findings,
    ) -> bool {
        let key = name.clone();
        let path = Trail::ROOT.join(&key);
        if !section.holds_objects() {
            let fits = self.reserve(node.size(), node.key, findings);
            apply(&mut self.root, name, node, &path, findings);
            return fits;
        }
        match &node.value {
            Value::Object(patches) => {
                let Some(patches) = self.expand(patches, &path, findings) else { return false };
                let node = Node { value: Value::Object(patches), ..node };
                apply(&mut self.root, name, node, &path, findings);
            }
            Value::Null => apply(&mut self.root, name, node, &path, findings),
            other => findings.error(node.at, path.path(), expected_object(other)),
        }
        true
    }

    /// Expands numbered names. `None` if there are too many values.
    fn expand(
        &mut self,
        patches: &Members,
        path: &Trail<'_>,
        findings: &mut Findings,
    ) -> Option<Members> {
        let mut expanded = Members::new();
        for (key, patch) in patches {
            let path = path.join(key);
            let range = match Range::parse(key) {
                Ok(range) => range,
                Err(error) => {
                    findings.error(patch.key, path.path(), Reason::Range { error });
                    continue;
                }
            };
            let copies = range.as_ref().map_or(1, Range::len);
            if !self.reserve(patch.size().saturating_mul(copies), patch.key, findings) {
                return None;
            }
            for (name, object) in objects(key, patch, range, &path, findings) {
                insert(&mut expanded, name, object, &path, findings);
            }
        }
        Some(expanded)
    }

    fn reserve(&mut self, values: usize, origin: Origin, findings: &mut Findings) -> bool {
        self.values = self.values.saturating_add(values);
        if self.values > MAX_VALUES {
            findings.error(origin, Path::default(), Reason::ManyValues);
        }
        self.values <= MAX_VALUES
    }
}

/// Returns the objects that `key` expands to. Stops at the first one that can't be expanded.
fn objects(
    key: &CompactString,
    patch: &Node,
    range: Option<Range>,
    path: &Trail<'_>,
    findings: &mut Findings,
) -> Vec<(CompactString, Node)> {
    let Some(range) = range else { return vec![(key.clone(), patch.clone())] };
    let expanded = |(name, item)| range::expand(patch, item).map(|node| (name, node));
    match range.items().map(expanded).collect() {
        Ok(objects) => objects,
        Err((origin, error)) => {
            findings.error(origin, path.path(), Reason::Range { error });
            Vec::new()
        }
    }
}

fn insert(
    expanded: &mut Members,
    name: CompactString,
    object: Node,
    path: &Trail<'_>,
    findings: &mut Findings,
) {
    if !range::is_name(&name) {
        findings.error(object.key, path.path(), Reason::Name { name });
        return;
    }
    if expanded.contains_key(&name) {
        findings.error(object.key, path.path(), Reason::Overlap { name });
        return;
    }
    expanded.insert(name, object);
}

/// Applies `patch` to the member `key`: objects member by member; `null` removes the member.
fn apply(
    members: &mut Members,
    key: CompactString,
    patch: Node,
    path: &Trail<'_>,
    findings: &mut Findings,
) {
    match patch.value {
        // Most objects are new and are inserted unchanged.
        Value::Object(_) if !members.contains_key(&key) && !patch.has_null() => {
            members.insert(key, patch);
        }
        Value::Null => {
            if members.remove(&key).is_none() {
                findings.error(patch.key, path.path(), Reason::NothingToRemove);
            }
        }
        Value::Object(patches) => {
            let empty = || Value::Object(BTreeMap::new());
            let node = members.entry(key).or_insert_with(|| Node {
                key: patch.key,
                at: patch.at,
                value: empty(),
            });
            if !matches!(node.value, Value::Object(_)) {
                node.value = empty();
            }
            let Value::Object(inner) = &mut node.value else { return };
            for (key, patch) in patches {
                let name = key.clone();
                apply(inner, key, patch, &path.join(&name), findings);
            }
        }
        _ => {
            members.insert(key, patch);
        }
    }
}

fn expected_object(value: &Value) -> Reason {
    Reason::Type { expected: "an object".into(), found: value.to_string().into() }
}
