//! Serialisation of values as text, through [`Display`] and [`FromStr`].

use serde::{Deserialize, Deserializer, Serializer, de::Error};
use std::{borrow::Cow, fmt::Display, str::FromStr};

/// Serialises a value through [`Display`].
pub(crate) fn serialize<T: Display, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Deserialises a value through [`FromStr`].
pub(crate) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    Cow::<str>::deserialize(deserializer)?.parse().map_err(D::Error::custom)
}
