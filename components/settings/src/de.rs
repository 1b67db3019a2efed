//! Deserializes typed values from JSON values with positions.
//!
//! Two rules go beyond plain JSON. An object may be given for a list: its members are the elements,
//! in the order of their keys. If a type has a field `name`, it is filled from the key of the
//! object.

use crate::{
    location::Path,
    report::{Findings, Reason},
    tree::{Members, Node, Value},
    value_error::{NAME, ValueError},
};
use compact_str::CompactString;
use serde::{
    Deserializer, de,
    de::{DeserializeOwned, IntoDeserializer, value::StrDeserializer},
    forward_to_deserialize_any,
};
use serde_json::Number;
use std::{collections::btree_map, slice};

/// Deserializes a `T` whose fields without a default are `required`. Every error becomes a finding.
pub(crate) fn object<T: DeserializeOwned>(
    node: &Node,
    path: &Path,
    required: &[&str],
    findings: &mut Findings,
) -> Option<T> {
    let mut found = Findings::default();
    let object = typed(node, path, &mut found);
    found.drop_missing(required);
    findings.append(found);
    let Value::Object(members) = &node.value else { return object };
    for &field in required.iter().filter(|field| !members.contains_key(**field)) {
        findings.error(node.key, path.clone(), Reason::MissingField { field: field.into() });
    }
    object
}

/// Deserializes a `T` from `node`, the member of the settings at `path`. Every error becomes a
/// finding.
pub(crate) fn typed<T: DeserializeOwned>(
    node: &Node,
    path: &Path,
    findings: &mut Findings,
) -> Option<T> {
    let label = path.0.last().map(CompactString::as_str);
    let mut error = match T::deserialize(Typed { node, label }) {
        Ok(value) => return Some(value),
        Err(error) => error,
    };
    let mut rest = node.clone();
    let mut removed = Vec::new();
    loop {
        let at = error.path();
        if !is_consequence(&error, &removed) {
            let origin = error.at.unwrap_or(node.key);
            findings.error(origin, path.extend(&at), error.reason);
        }
        if !rest.remove(&at.0) {
            return None;
        }
        removed.push(at);
        error = T::deserialize(Typed { node: &rest, label }).err()?;
    }
}

/// Returns whether a field is missing only because it was removed after an error in it.
fn is_consequence(error: &ValueError, removed: &[Path]) -> bool {
    match &error.reason {
        Reason::MissingField { field } => {
            let field = error.path().join(field);
            removed.iter().any(|path| path.0.starts_with(&field.0))
        }
        _ => false,
    }
}

/// A value and its key.
#[derive(Clone, Copy)]
struct Typed<'a> {
    node: &'a Node,
    label: Option<&'a str>,
}

impl<'a> Typed<'a> {
    fn unlabelled(node: &'a Node) -> Self {
        Typed { node, label: None }
    }

    fn object<'de, V: de::Visitor<'de>>(
        self,
        members: &'a Members,
        name: Option<&'a str>,
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        visitor.visit_map(Object {
            name,
            named: name.is_some(),
            members: members.iter(),
            value: None,
        })
    }
}

impl<'de> Deserializer<'de> for Typed<'_> {
    type Error = ValueError;

    fn deserialize_any<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match &self.node.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(*value),
            Value::Number(value) => number(value, visitor),
            Value::Text(value) => visitor.visit_str(value),
            Value::List(items) => visitor.visit_seq(List { items: items.iter(), position: 0 }),
            Value::Object(members) => self.object(members, None, visitor),
        }
    }

    fn deserialize_struct<V: de::Visitor<'de>>(
        self,
        _name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        let name = self.label.filter(|_| fields.contains(&NAME));
        match &self.node.value {
            Value::Object(members) if name.is_some() && members.contains_key(NAME) => {
                Err(ValueError::named(fields).within(NAME, members[NAME].key))
            }
            Value::Object(members) => self.object(members, name, visitor),
            other => Err(de::Error::invalid_type(unexpected(other), &"an object")),
        }
    }

    fn deserialize_seq<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match &self.node.value {
            Value::Object(members) => visitor.visit_seq(Labelled { members: members.iter() }),
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_option<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match &self.node.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: de::Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: de::Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        match &self.node.value {
            Value::Text(text) => visitor.visit_enum(text_choice(text)),
            other => Err(de::Error::invalid_type(unexpected(other), &"a string")),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct tuple tuple_struct map identifier ignored_any
    }
}

fn text_choice(text: &str) -> StrDeserializer<'_, ValueError> {
    text.into_deserializer()
}

fn number<'de, V: de::Visitor<'de>>(number: &Number, visitor: V) -> Result<V::Value, ValueError> {
    match (number.as_u64(), number.as_i64()) {
        (Some(value), _) => visitor.visit_u64(value),
        (None, Some(value)) => visitor.visit_i64(value),
        (None, None) => visitor.visit_f64(number.as_f64().unwrap_or_default()),
    }
}

fn unexpected(value: &Value) -> de::Unexpected<'_> {
    match value {
        Value::Null => de::Unexpected::Unit,
        Value::Bool(value) => de::Unexpected::Bool(*value),
        Value::Number(_) => de::Unexpected::Other("number"),
        Value::Text(value) => de::Unexpected::Str(value),
        Value::List(_) => de::Unexpected::Seq,
        Value::Object(_) => de::Unexpected::Map,
    }
}

/// Members of an object, preceded by its name if the type has a field for it.
struct Object<'a> {
    /// The name until it is returned as the first member.
    name: Option<&'a str>,
    named: bool,
    members: btree_map::Iter<'a, CompactString, Node>,
    value: Option<Pending<'a>>,
}

/// The source of the next value.
enum Pending<'a> {
    Name(&'a str),
    Member(&'a str, &'a Node),
}

impl<'de> de::MapAccess<'de> for Object<'_> {
    type Error = ValueError;

    fn next_key_seed<K: de::DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ValueError> {
        if let Some(name) = self.name.take() {
            self.value = Some(Pending::Name(name));
            return seed.deserialize(text_choice(NAME)).map(Some);
        }
        let Some((key, node)) = self.members.next() else { return Ok(None) };
        self.value = Some(Pending::Member(key, node));
        let key_of = |error: ValueError| if self.named { error.nameless() } else { error };
        seed.deserialize(text_choice(key))
            .map(Some)
            .map_err(|error| key_of(error).within(key, node.key))
    }

    fn next_value_seed<V: de::DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, ValueError> {
        match self.value.take() {
            Some(Pending::Name(name)) => seed.deserialize(text_choice(name)),
            Some(Pending::Member(key, node)) => seed
                .deserialize(Typed { node, label: Some(key) })
                .map_err(|error| error.within(key, node.at)),
            None => Err(de::Error::custom("a value without a key")),
        }
    }
}

/// Elements of a list.
struct List<'a> {
    items: slice::Iter<'a, Node>,
    position: usize,
}

impl<'de> de::SeqAccess<'de> for List<'_> {
    type Error = ValueError;

    fn next_element_seed<T: de::DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ValueError> {
        let Some(node) = self.items.next() else { return Ok(None) };
        let key = self.position.to_string();
        self.position += 1;
        let element = seed.deserialize(Typed::unlabelled(node));
        element.map(Some).map_err(|error| error.within(&key, node.at))
    }
}

/// Members of an object that is given for a list.
struct Labelled<'a> {
    members: btree_map::Iter<'a, CompactString, Node>,
}

impl<'de> de::SeqAccess<'de> for Labelled<'_> {
    type Error = ValueError;

    fn next_element_seed<T: de::DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ValueError> {
        let Some((key, node)) = self.members.next() else { return Ok(None) };
        let element = seed.deserialize(Typed { node, label: Some(key) });
        element.map(Some).map_err(|error| error.within(key, node.at))
    }
}
