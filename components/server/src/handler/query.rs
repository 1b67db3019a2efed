//! Parses query parameters.

use crate::Rejection;
use site::unit::Span;

const WAIT: &str = "wait";

/// Parses `wait` as a flag; the default is `true`.
pub(super) fn wait_flag(query: &str) -> Result<bool, Rejection> {
    match value(query, WAIT)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(Rejection::MalformedQuery),
    }
}

/// Parses `wait` as a time; `None` if it is absent.
pub(super) fn wait_time(query: &str) -> Result<Option<Span>, Rejection> {
    value(query, WAIT)?.map(|text| text.parse().map_err(|_| Rejection::MalformedQuery)).transpose()
}

/// Rejects any parameters.
pub(super) fn none(query: &str) -> Result<(), Rejection> {
    if query.is_empty() { Ok(()) } else { Err(Rejection::MalformedQuery) }
}

/// Returns the value of the parameter `name`, the only one allowed.
fn value<'q>(query: &'q str, name: &str) -> Result<Option<&'q str>, Rejection> {
    if query.is_empty() {
        return Ok(None);
    }
    match query.split_once('=') {
        Some((key, value)) if key == name && !value.contains('&') => Ok(Some(value)),
        _ => Err(Rejection::MalformedQuery),
    }
}
