//! JSON values with their positions in the source files.

use crate::{
    limit::MAX_TEXT_BYTES,
    location::{Path, Trail},
    report::{Findings, Reason},
    source::{Origin, Sources},
};
use compact_str::CompactString;
use json_spanned_value::{self as json, spanned};
use serde_json::{Number, error::Category};
use std::{collections::BTreeMap, fmt};

/// Members of an object.
pub(crate) type Members = BTreeMap<CompactString, Node>;

/// A value and its position.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Position of the key for a member of an object, else of the value.
    pub(crate) key: Origin,
    /// Position of the value.
    pub(crate) at: Origin,
    pub(crate) value: Value,
}

/// A JSON value.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Number(Number),
    Text(CompactString),
    List(Vec<Node>),
    Object(Members),
}

impl Node {
    /// Returns the member at `path`.
    pub(crate) fn get(&self, path: &[CompactString]) -> Option<&Node> {
        let Some((key, rest)) = path.split_first() else { return Some(self) };
        match &self.value {
            Value::Object(members) => members.get(key)?.get(rest),
            Value::List(items) => items.get(key.parse::<usize>().ok()?)?.get(rest),
            _ => None,
        }
    }

    /// Removes the member at `path`, or the list that contains it. Returns whether it was found.
    pub(crate) fn remove(&mut self, path: &[CompactString]) -> bool {
        let Value::Object(members) = &mut self.value else { return false };
        match path {
            [] => false,
            [key] => members.remove(key).is_some(),
            [key, rest @ ..] => match members.get_mut(key) {
                Some(inner) => inner.remove(rest) || members.remove(key).is_some(),
                None => false,
            },
        }
    }

    /// Returns the number of values in this tree, including the root.
    pub(crate) fn size(&self) -> usize {
        1 + match &self.value {
            Value::List(items) => items.iter().map(Node::size).sum(),
            Value::Object(members) => members.values().map(Node::size).sum(),
            _ => 0,
        }
    }

    /// Returns whether a member of an object at any depth is `null`.
    pub(crate) fn has_null(&self) -> bool {
        match &self.value {
            Value::Null => true,
            Value::Object(members) => members.values().any(Node::has_null),
            _ => false,
        }
    }

    pub(crate) fn to_json(&self) -> serde_json::Value {
        match &self.value {
            Value::Null => serde_json::Value::Null,
            Value::Bool(value) => (*value).into(),
            Value::Number(value) => value.clone().into(),
            Value::Text(value) => value.as_str().into(),
            Value::List(items) => items.iter().map(Node::to_json).collect(),
            Value::Object(members) => {
                members.iter().map(|(key, node)| (key.to_string(), node.to_json())).collect()
            }
        }
    }
}

/// Parses the JSON `text` that starts at `start`.
pub(crate) fn read(text: &[u8], start: Origin, findings: &mut Findings) -> Option<Node> {
    match json::from_slice::<spanned::Value>(text) {
        Ok(value) => Some(Reader { start, findings }.node(&value, None, &Trail::ROOT)),
        Err(error) => {
            findings.error(syntax_origin(text, start, &error), Path::default(), reason(&error));
            None
        }
    }
}

fn syntax_origin(text: &[u8], start: Origin, error: &serde_json::Error) -> Origin {
    Origin { offset: Sources::offset(text, error.line(), error.column()), ..start }
}

/// Converts a JSON error. Every JSON value is accepted, so a data error can only be a duplicate
/// key.
fn reason(error: &serde_json::Error) -> Reason {
    let text = error.to_string();
    let detail = text.rsplit_once(" at line ").map_or(text.as_str(), |(detail, _)| detail);
    match error.classify() {
        Category::Data => Reason::DuplicateKey { detail: detail.into() },
        Category::Syntax | Category::Eof | Category::Io => Reason::Syntax { detail: detail.into() },
    }
}

struct Reader<'a> {
    start: Origin,
    findings: &'a mut Findings,
}

impl Reader<'_> {
    fn origin(&self, offset: usize) -> Origin {
        Origin { offset, ..self.start }
    }

    fn node(&mut self, spanned: &spanned::Value, key: Option<Origin>, path: &Trail<'_>) -> Node {
        let at = self.origin(spanned.start());
        let value = match spanned.get_ref() {
            json::Value::Null => Value::Null,
            json::Value::Bool(value) => Value::Bool(*value),
            json::Value::Number(value) => Value::Number(value.clone()),
            json::Value::String(text) => Value::Text(self.text(text, at, path)),
            json::Value::Array(items) => Value::List(self.items(items, path)),
            json::Value::Object(members) => Value::Object(self.members(members, path)),
        };
        Node { key: key.unwrap_or(at), at, value }
    }

    fn items(&mut self, items: &[spanned::Value], path: &Trail<'_>) -> Vec<Node> {
        let item = |(i, item): (usize, _)| self.node(item, None, &path.join(&i.to_string()));
        items.iter().enumerate().map(item).collect()
    }

    fn members(
        &mut self,
        members: &json::Map<spanned::String, spanned::Value>,
        path: &Trail<'_>,
    ) -> Members {
        let member = |(key, value): (&spanned::String, &spanned::Value)| {
            let at = self.origin(key.start());
            let name = self.text(key, at, path);
            let node = self.node(value, Some(at), &path.join(&name));
            (name, node)
        };
        members.iter().map(member).collect()
    }

    fn text(&mut self, text: &str, at: Origin, path: &Trail<'_>) -> CompactString {
        if text.len() <= MAX_TEXT_BYTES {
            return text.into();
        }
        self.findings.error(at, path.path(), Reason::LongText { bytes: text.len() });
        CompactString::default()
    }
}

/// Describes the value for error messages.
impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Number(value) => write!(f, "number {value}"),
            Value::Text(value) => write!(f, "text \"{value}\""),
            Value::List(_) => f.write_str("a list"),
            Value::Object(_) => f.write_str("an object"),
        }
    }
}
