//! Errors of single values during deserialization.

use crate::{
    location::Path,
    report::{Quantity, Reason},
    source::Origin,
};
use compact_str::CompactString;
use serde::de;
use std::{fmt, net::SocketAddr};

/// The field that is filled from the key of an object.
pub(crate) const NAME: &str = "name";

/// Error of deserializing a value.
#[derive(Debug)]
pub(crate) struct ValueError {
    pub(crate) reason: Reason,
    pub(crate) at: Option<Origin>,
    /// Keys of the path to the value, innermost first.
    keys: Vec<CompactString>,
}

impl ValueError {
    fn new(reason: Reason) -> Self {
        ValueError { reason, at: None, keys: Vec::new() }
    }

    pub(crate) fn path(&self) -> Path {
        Path(self.keys.iter().rev().cloned().collect())
    }

    /// Returns the error for an object with a member `name`, although its key is its name.
    pub(crate) fn named(fields: &[&str]) -> Self {
        ValueError::new(Reason::UnknownField { field: NAME.into(), expected: names(fields) })
            .nameless()
    }

    /// Returns this error without `name` among the expected fields, for an object named by its key.
    pub(crate) fn nameless(mut self) -> Self {
        if let Reason::UnknownField { expected, .. } = &mut self.reason {
            expected.retain(|field| field != NAME);
        }
        self
    }

    /// Returns this error as seen from the enclosing object, in which the value has `key`.
    pub(crate) fn within(mut self, key: &str, origin: Origin) -> Self {
        self.at.get_or_insert(origin);
        self.keys.push(key.into());
        self
    }
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.reason.fmt(f)
    }
}

impl std::error::Error for ValueError {}

impl de::Error for ValueError {
    fn custom<T: fmt::Display>(text: T) -> Self {
        ValueError::new(reason_from_text(&text.to_string()))
    }

    fn invalid_type(found: de::Unexpected<'_>, expected: &dyn de::Expected) -> Self {
        let expected = expected.to_string().into();
        ValueError::new(Reason::Type { expected, found: found.to_string().into() })
    }

    fn invalid_value(found: de::Unexpected<'_>, expected: &dyn de::Expected) -> Self {
        Self::custom(format_args!("expected {expected}, found {found}"))
    }

    fn unknown_variant(value: &str, expected: &'static [&'static str]) -> Self {
        ValueError::new(Reason::Choice { value: value.into(), expected: names(expected) })
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        ValueError::new(Reason::UnknownField { field: field.into(), expected: names(expected) })
    }

    fn missing_field(field: &'static str) -> Self {
        ValueError::new(Reason::MissingField { field: field.into() })
    }
}

fn names(names: &[&str]) -> Vec<CompactString> {
    names.iter().copied().map(CompactString::from).collect()
}

/// Recognizes errors of domain types by their text, since serde passes them on only as text.
fn reason_from_text(text: &str) -> Reason {
    let quantity = Quantity::ALL.into_iter().find(|quantity| quantity.has_error(text));
    match quantity {
        Some(quantity) => Reason::Quantity { quantity, detail: text.into() },
        None if is_address_error(text) => Reason::SocketAddress,
        None => Reason::Value { detail: text.into() },
    }
}

fn is_address_error(text: &str) -> bool {
    "".parse::<SocketAddr>().is_err_and(|error| error.to_string() == text)
}
