//! HTTP requests to endpoints and their responses.

use bytes::Bytes;
use compact_str::CompactString;
use site::unit::{Memory, Span};
use trillium_client::{Headers, KnownHeaderName, Method, Url};

use crate::protocol;

/// Maximum size of the response body of a control request.
const CONTROL_BODY_LIMIT: Memory = Memory(1 << 20);

/// An HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) url: Url,
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Media type of the body; no header if empty.
    pub(crate) content_type: CompactString,
    pub(crate) body: Bytes,
    /// Maximum size of the response body.
    pub(crate) body_limit: Memory,
}

impl Request {
    /// Returns a request without headers and body, with the limit of control requests.
    pub(crate) fn control(method: Method, url: Url) -> Self {
        Request {
            method,
            url,
            headers: Vec::new(),
            content_type: CompactString::default(),
            body: Bytes::new(),
            body_limit: CONTROL_BODY_LIMIT,
        }
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) content_type: CompactString,
    pub(crate) body: Bytes,
    /// The header [`protocol::ATTEMPT`].
    pub(crate) attempt: Option<CompactString>,
    /// The header [`protocol::OUTCOME`].
    pub(crate) outcome: Option<CompactString>,
    /// The header [`protocol::REFUSAL`].
    pub(crate) refusal: Option<CompactString>,
    /// The header [`protocol::ATTEMPT_STATE`].
    pub(crate) state: Option<CompactString>,
    /// The header `Retry-After` if it is a number of seconds.
    pub(crate) retry_after: Option<Span>,
    /// Whether the header [`protocol::LEAVING`] is set.
    pub(crate) leaving: bool,
}

impl Response {
    pub(crate) fn new(status: u16, headers: &Headers, body: Bytes) -> Self {
        let text = |name: &'static str| headers.get_str(name).map(CompactString::from);
        Response {
            status,
            content_type: headers
                .get_str(KnownHeaderName::ContentType)
                .map(CompactString::from)
                .unwrap_or_default(),
            body,
            attempt: text(protocol::ATTEMPT),
            outcome: text(protocol::OUTCOME),
            refusal: text(protocol::REFUSAL),
            state: text(protocol::ATTEMPT_STATE),
            retry_after: headers
                .get_str(KnownHeaderName::RetryAfter)
                .and_then(|seconds| seconds.trim().parse().ok())
                .map(|seconds: u32| Span::from_secs(u64::from(seconds))),
            leaving: headers.get_str(protocol::LEAVING) == Some("1"),
        }
    }

    /// Whether the status is 2xx.
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
