//! Computes the differences between two folders of settings.

use crate::{
    check::merge,
    section::Section,
    source::Files,
    tree::{Members, Node, Value},
};
use compact_str::CompactString;
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// How a file or an object changed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChangeKind {
    /// It was added.
    #[display("added")]
    Added,
    /// Its content differs.
    #[display("changed")]
    Changed,
    /// It was removed.
    #[display("removed")]
    Removed,
}

/// A difference between two folders.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Change {
    /// A file was added, changed or removed.
    #[display("file {name}: {step}")]
    File {
        /// Name of the file.
        name: CompactString,
        /// How it changed.
        step: ChangeKind,
    },
    /// An object of the merged settings was added or removed.
    #[display("{section}.{name}: {step}")]
    Object {
        /// The section of the object.
        section: Section,
        /// Name of the object.
        name: CompactString,
        /// Whether it was added or removed.
        step: ChangeKind,
    },
    /// A field of an object has another value.
    #[display("{}.{field}: {} -> {}", object(*section, name), shown(before), shown(after))]
    Field {
        /// The section of the object.
        section: Section,
        /// Name of the object; empty for the policy.
        name: CompactString,
        /// Path of the field, its keys joined by `.`.
        field: CompactString,
        /// Value before the change; `None` if it had its default.
        before: Option<serde_json::Value>,
        /// Value after the change; `None` if it has its default.
        after: Option<serde_json::Value>,
    },
}

fn object(section: Section, name: &str) -> String {
    match name.is_empty() {
        true => section.to_string(),
        false => format!("{section}.{name}"),
    }
}

fn shown(value: &Option<serde_json::Value>) -> String {
    value.as_ref().map_or_else(|| "default".into(), ToString::to_string)
}

/// Returns the differences between `old` and `new`: files first, then the merged settings. Files
/// that can't be parsed count as empty in the merged settings.
pub fn diff(old: &Files, new: &Files) -> Vec<Change> {
    let mut changes: Vec<_> = keys(old, new)
        .into_iter()
        .filter_map(|name| Some((name, step(old.get(name), new.get(name), PartialEq::eq)?)))
        .map(|(name, step)| Change::File { name: name.clone(), step })
        .collect();
    let (old, new) = (merge(old), merge(new));
    for section in Section::ALL {
        let name = section.to_string();
        let (old, new) = (old.get(name.as_str()), new.get(name.as_str()));
        match section.holds_objects() {
            true => objects(section, members(old), members(new), &mut changes),
            false => fields(section, "", old, new, &mut changes),
        }
    }
    changes
}

fn objects(section: Section, old: &Members, new: &Members, changes: &mut Vec<Change>) {
    for name in keys(old, new) {
        let (before, after) = (old.get(name), new.get(name));
        match step(before, after, same) {
            None => (),
            Some(ChangeKind::Changed) => fields(section, name, before, after, changes),
            Some(step) => changes.push(Change::Object { section, name: name.clone(), step }),
        }
    }
}

fn fields(
    section: Section,
    name: &str,
    old: Option<&Node>,
    new: Option<&Node>,
    changes: &mut Vec<Change>,
) {
    for field in keys(members(old), members(new)) {
        let (before, after) = (members(old).get(field), members(new).get(field));
        leaves(field.clone(), before, after, &mut |field, before, after| {
            changes.push(Change::Field { section, name: name.into(), field, before, after });
        });
    }
}

/// Calls `found` for each value that differs and is not an object on both sides.
fn leaves(
    path: CompactString,
    old: Option<&Node>,
    new: Option<&Node>,
    found: &mut impl FnMut(CompactString, Option<serde_json::Value>, Option<serde_json::Value>),
) {
    let (before, after) = (old.map(Node::to_json), new.map(Node::to_json));
    if before == after {
        return;
    }
    if !is_object(old) || !is_object(new) {
        return found(path, before, after);
    }
    for key in keys(members(old), members(new)) {
        let path = format!("{path}.{key}").into();
        leaves(path, members(old).get(key), members(new).get(key), found);
    }
}

fn step<T>(old: Option<T>, new: Option<T>, same: impl Fn(&T, &T) -> bool) -> Option<ChangeKind> {
    match (old, new) {
        (None, None) => None,
        (None, Some(_)) => Some(ChangeKind::Added),
        (Some(_), None) => Some(ChangeKind::Removed),
        (Some(old), Some(new)) => (!same(&old, &new)).then_some(ChangeKind::Changed),
    }
}

fn same(a: &&Node, b: &&Node) -> bool {
    a.to_json() == b.to_json()
}

fn is_object(node: Option<&Node>) -> bool {
    node.is_some_and(|node| matches!(node.value, Value::Object(_)))
}

fn members(node: Option<&Node>) -> &Members {
    const NONE: &Members = &Members::new();
    match node {
        Some(Node { value: Value::Object(members), .. }) => members,
        _ => NONE,
    }
}

fn keys<'a, T>(
    old: &'a BTreeMap<CompactString, T>,
    new: &'a BTreeMap<CompactString, T>,
) -> BTreeSet<&'a CompactString> {
    old.keys().chain(new.keys()).collect()
}
