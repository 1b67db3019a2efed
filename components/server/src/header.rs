//! Headers of the HTTP API, and the submission parameters that callers pass in them.

use crate::{Rejection, problem::Prior};
use compact_str::CompactString;
use site::{id::SubmissionId, unit::Span};
use std::time::Duration;
use trillium::{Headers, KnownHeaderName};

/// Response header with the current home token; on every response.
pub const HOME: &str = "primrosestep-home";
/// Identifier of the submission, on requests and responses.
pub const ID: &str = "primrosestep-id";
/// Response header with the outcome of the submission.
pub const OUTCOME: &str = "primrosestep-outcome";
/// Request header with the crew of the firm that the work is for.
pub const CREW: &str = "primrosestep-crew";
/// Request header; `false` if the request must not run again although its service allows it.
pub const REPEATABLE: &str = "primrosestep-repeatable";
/// Request header with the time left until the caller stops waiting.
pub const DEADLINE: &str = "primrosestep-deadline";
/// Request header; `true` if the caller never sent this id or key before.
pub const FIRST: &str = "primrosestep-first";
/// Request header with an idempotency key that the caller has chosen.
pub const KEY: &str = "idempotency-key";

const MAX_KEY_LEN: usize = 128;
const BEARER: &str = "Bearer ";

/// How a request identifies its submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identifier {
    /// Not at all; the entry creates an identifier.
    None,
    /// By an identifier that the caller created with a home token.
    Id(SubmissionId),
    /// By an idempotency key that the caller has chosen.
    Key(CompactString),
}

/// Submission parameters from the headers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Params {
    /// How the submission is identified.
    pub identifier: Identifier,
    /// Whether the caller states that it never sent this identifier before.
    pub first: bool,
    /// Name of the crew; `None` for the firm's default crew.
    pub crew: Option<CompactString>,
    /// Whether the request may run again, if the service allows it.
    pub repeatable: bool,
    /// Time left until the caller stops waiting, never zero; `None` for the service's default.
    pub deadline: Option<Span>,
    /// Media type of the body.
    pub content_type: CompactString,
}

impl Params {
    /// Parses the parameters in `headers`.
    pub fn parse(headers: &Headers) -> Result<Params, Rejection> {
        Ok(Params {
            identifier: parse_identifier(headers)?,
            first: parse_flag(headers, FIRST)?.unwrap_or(false),
            crew: headers.get_str(CREW).map(CompactString::from),
            repeatable: parse_flag(headers, REPEATABLE)?.unwrap_or(true),
            deadline: headers.get_str(DEADLINE).map(parse_deadline).transpose()?,
            content_type: content_type(headers),
        })
    }
}

/// Returns whether an earlier request may have submitted what these headers identify.
pub fn prior(headers: &Headers) -> Prior {
    let named = headers.has_header(ID) || headers.has_header(KEY);
    let first = matches!(parse_flag(headers, FIRST), Ok(Some(true)));
    if named && !first { Prior::Possible } else { Prior::None }
}

/// Returns the bearer key in the `Authorization` header.
pub fn bearer(headers: &Headers) -> Option<&str> {
    headers.get_str(KnownHeaderName::Authorization)?.strip_prefix(BEARER)
}

/// Returns the declared length of a body; `None` if it is chunked.
pub fn body_length(headers: &Headers) -> Result<Option<u64>, Rejection> {
    let lengths = headers.get_values(KnownHeaderName::ContentLength);
    if headers.has_header(KnownHeaderName::TransferEncoding) {
        let chunked = headers.eq_ignore_ascii_case(KnownHeaderName::TransferEncoding, "chunked");
        return if chunked { Ok(None) } else { Err(Rejection::UnsupportedCoding) };
    }
    match lengths {
        None => Ok(Some(0)),
        Some(values) if values.len() == 1 => values
            .as_str()
            .filter(|text| text.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|text| text.parse().ok())
            .map(Some)
            .ok_or(Rejection::MalformedLength),
        Some(_) => Err(Rejection::MalformedLength),
    }
}

/// Parses a deadline, which must be positive.
pub fn parse_deadline(text: &str) -> Result<Span, Rejection> {
    if let Some(rest) = text.strip_prefix('-') {
        let negative = rest.parse::<Span>().map_err(|_| Rejection::MalformedDeadline);
        return negative.and(Err(Rejection::DeadlinePassed));
    }
    match text.parse() {
        Ok(Span::ZERO) => Err(Rejection::DeadlinePassed),
        Ok(span) => Ok(span),
        Err(_) => Err(Rejection::MalformedDeadline),
    }
}

/// Returns what remains of `deadline` after `elapsed`.
pub fn remaining(deadline: Span, elapsed: Duration) -> Result<Span, Rejection> {
    let elapsed = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    match deadline - Span(elapsed) {
        Span::ZERO => Err(Rejection::DeadlinePassed),
        left => Ok(left),
    }
}

fn parse_identifier(headers: &Headers) -> Result<Identifier, Rejection> {
    let id = single(headers, ID)?;
    let key = single(headers, KEY)?;
    match (id, key) {
        (None, None) => Ok(Identifier::None),
        (Some(id), None) => id.parse().map(Identifier::Id).map_err(|_| Rejection::MalformedId),
        (None, Some(key)) => parse_key(key).map(Identifier::Key),
        (Some(_), Some(_)) => Err(Rejection::AmbiguousId),
    }
}

fn single<'h>(headers: &'h Headers, name: &'static str) -> Result<Option<&'h str>, Rejection> {
    match headers.get_values(name) {
        None => Ok(None),
        Some(values) if values.len() == 1 => Ok(Some(values.as_str().unwrap_or(""))),
        Some(_) => Err(Rejection::AmbiguousId),
    }
}

fn parse_key(key: &str) -> Result<CompactString, Rejection> {
    let printable = key.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if key.is_empty() || key.len() > MAX_KEY_LEN || !printable {
        return Err(Rejection::MalformedKey);
    }
    Ok(key.into())
}

fn parse_flag(headers: &Headers, header: &'static str) -> Result<Option<bool>, Rejection> {
    match headers.get_str(header) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Rejection::MalformedFlag { header }),
    }
}

fn content_type(headers: &Headers) -> CompactString {
    headers.get_str(KnownHeaderName::ContentType).unwrap_or("application/octet-stream").into()
}
