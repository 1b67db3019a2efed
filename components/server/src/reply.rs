//! HTTP responses to callers.

use crate::{
    Problem, Rejection, header,
    problem::{self, outcome_name},
    timeout,
};
use serde::Serialize;
use site::{
    id::{SubmissionId, Token},
    submission::{Failure, Output},
};
use std::borrow::Cow;
use trillium::{Conn, KnownHeaderName, Status, Version};

/// Media type of JSON.
pub const JSON: &str = "application/json";

const COMPLETE: &str = "complete";
const PENDING: &str = "pending";

/// A response to a caller.
#[derive(Debug)]
pub struct Reply {
    status: u16,
    content_type: Cow<'static, str>,
    body: Vec<u8>,
    id: Option<SubmissionId>,
    outcome: Option<&'static str>,
    /// Value of `Retry-After` in whole seconds.
    retry_after: Option<u64>,
    location: Option<String>,
    allowed: Option<&'static str>,
    /// Whether the connection is closed after the response because bytes of the request may be
    /// unread.
    unread: bool,
}

impl Reply {
    fn new(status: u16, content_type: impl Into<Cow<'static, str>>, body: Vec<u8>) -> Reply {
        Reply {
            status,
            content_type: content_type.into(),
            body,
            id: None,
            outcome: None,
            retry_after: None,
            location: None,
            allowed: None,
            unread: false,
        }
    }

    /// Creates a plain text response.
    pub fn text(status: u16, text: impl Into<String>) -> Reply {
        Reply::new(status, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// Creates a JSON response.
    pub fn json(status: u16, value: &impl Serialize) -> Reply {
        let body = serde_json::to_vec(value).expect("answers have text keys only");
        Reply::new(status, JSON, body)
    }

    /// Creates a response with the status, media type and body of an endpoint's output.
    pub fn output(id: SubmissionId, output: &Output) -> Reply {
        let content_type = output.content_type.to_string();
        let reply = Reply::new(output.status, content_type, output.body.to_vec());
        Reply { id: Some(id), outcome: Some(COMPLETE), ..reply }
    }

    /// Creates the response with the complete answer to a job.
    pub fn complete(id: SubmissionId, body: Vec<u8>) -> Reply {
        Reply { id: Some(id), outcome: Some(COMPLETE), ..Reply::new(200, JSON, body) }
    }

    /// Creates the response for a submission without an answer yet, with `value` as its body.
    pub fn pending(id: SubmissionId, value: &impl Serialize) -> Reply {
        let location = Some(format!("/v1/jobs/{id}"));
        Reply { id: Some(id), outcome: Some(PENDING), location, ..Reply::json(202, value) }
    }

    /// Creates the response for a failed submission.
    pub fn failure(failure: &Failure, id: Option<SubmissionId>) -> Reply {
        Reply { id, ..Reply::problem(&Problem::failure(failure, id)) }
    }

    /// Creates the response for a rejected request.
    pub fn rejection(
        rejection: &Rejection,
        prior: problem::Prior,
        id: Option<SubmissionId>,
    ) -> Reply {
        let allowed = match rejection {
            Rejection::Method { allowed } => Some(*allowed),
            _ => None,
        };
        let unread = rejection.leaves_unread_bytes();
        let reply = Reply::problem(&Problem::rejection(rejection, prior, id));
        Reply { id, allowed, unread, ..reply }
    }

    fn problem(problem: &Problem) -> Reply {
        let reply = Reply::json(problem.status, problem);
        Reply {
            content_type: problem::CONTENT_TYPE.into(),
            outcome: Some(outcome_name(problem.outcome)),
            retry_after: problem.retry_after.map(|span| span.as_secs_ceil()),
            ..reply
        }
    }

    /// Writes the response to `conn`, with the current home token.
    pub fn send(self, mut conn: Conn, token: Token) -> Conn {
        if let Some(connection) = timeout::of(&mut conn) {
            connection.start_response(self.unread);
        }
        let keep_alive = conn.inner().http_version() == Version::Http1_1;
        let headers = conn.response_headers_mut();
        headers.insert(KnownHeaderName::ContentType, self.content_type.into_owned());
        headers.insert(header::HOME, token.to_string());
        match (self.unread, keep_alive) {
            (true, _) => headers.insert(KnownHeaderName::Connection, "close"),
            (false, true) => headers.insert(KnownHeaderName::Connection, "keep-alive"),
            (false, false) => {}
        };
        if let Some(id) = self.id {
            headers.insert(header::ID, id.to_string());
        }
        if let Some(outcome) = self.outcome {
            headers.insert(header::OUTCOME, outcome);
        }
        if let Some(seconds) = self.retry_after {
            headers.insert(KnownHeaderName::RetryAfter, seconds.to_string());
        }
        if let Some(location) = self.location {
            headers.insert(KnownHeaderName::Location, location);
        }
        if let Some(allowed) = self.allowed {
            headers.insert(KnownHeaderName::Allow, allowed);
        }
        conn.with_status(status(self.status)).with_body(self.body).halt()
    }
}

/// Converts a status code to the library's type. An unknown code becomes the first of its class.
fn status(code: u16) -> Status {
    Status::try_from(code)
        .or_else(|_| Status::try_from(code / 100 * 100))
        .unwrap_or(Status::InternalServerError)
}
