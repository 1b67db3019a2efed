//! Single requests and their responses.

use compact_str::CompactString;
use site::{id::SubmissionId, unit::Span};

/// A single request. Its body and the response are passed through unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Name of the service.
    pub service: CompactString,
    /// Name of the crew; `None` for the firm's default crew.
    pub crew: Option<CompactString>,
    /// Identifier of a submission that may have been sent before. If absent, the client creates
    /// one.
    pub id: Option<SubmissionId>,
    /// Whether the request may run again, if the service allows it.
    pub repeatable: bool,
    /// Time until the answer is no longer needed; `None` for the client's default.
    pub deadline: Option<Span>,
    /// Media type of the body.
    pub content_type: CompactString,
    /// Request body.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request to `service` with `body` and defaults for the rest.
    pub fn new(service: impl Into<CompactString>, body: impl Into<Vec<u8>>) -> Request {
        Request {
            service: service.into(),
            crew: None,
            id: None,
            repeatable: true,
            deadline: None,
            content_type: "application/octet-stream".into(),
            body: body.into(),
        }
    }
}

/// The response to a single request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Identifier of the submission.
    pub id: SubmissionId,
    /// HTTP status of the endpoint's response.
    pub status: u16,
    /// Media type of the body.
    pub content_type: CompactString,
    /// Body of the endpoint's response.
    pub body: Vec<u8>,
}
