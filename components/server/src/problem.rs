//! Problem details (RFC 9457), the format of all rejections and failures.

use crate::Rejection;
use serde::Serialize;
use site::{
    id::SubmissionId,
    submission::{Failure, Outcome, Reason},
    unit::Span,
};

/// Media type of a problem.
pub const CONTENT_TYPE: &str = "application/problem+json";

const TYPE_PREFIX: &str = "urn:primrosestep:problem:";

const UNKNOWN_PRIOR: &str = "whether an earlier request ran is not known here";

/// Whether an earlier request may have submitted what a rejected request identifies.
///
/// Determines the outcome that a rejection reports: `NotRun` is only correct if it was certainly
/// never submitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prior {
    /// The request identifies no submission, or its caller states that it is the first with this
    /// identifier.
    None,
    /// The request identifies, or may identify, a submission of an earlier request.
    Possible,
}

/// A problem details object.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// URI of the kind of problem; ends with the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// Human-readable summary of the kind of problem.
    pub title: &'static str,
    /// HTTP status of the response.
    pub status: u16,
    /// Human-readable explanation of this occurrence.
    pub detail: String,
    /// Outcome of the submission: not run, may have run, or ran and failed.
    pub outcome: Outcome,
    /// Machine-readable code of the kind of problem.
    pub reason: &'static str,
    /// Identifier of the submission; absent if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// Time until a retry is useful, in milliseconds; absent if a retry would not help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Same as `retry_after_ms` with full precision, for the `Retry-After` header.
    #[serde(skip)]
    pub retry_after: Option<Span>,
}

impl Problem {
    /// Creates the problem of a failed submission.
    pub fn failure(failure: &Failure, id: Option<SubmissionId>) -> Problem {
        let kind = FailureKind::of(failure.reason);
        Problem {
            kind: format!("{TYPE_PREFIX}{}", kind.reason),
            title: kind.title,
            status: kind.status,
            detail: format!("{}; {}", kind.title, describe(failure.outcome)),
            outcome: failure.outcome,
            reason: kind.reason,
            id: id.map(|id| id.to_string()),
            retry_after_ms: failure.retry_after.map(Span::as_millis),
            retry_after: failure.retry_after,
        }
    }

    /// Creates the problem of a rejected request.
    pub fn rejection(rejection: &Rejection, prior: Prior, id: Option<SubmissionId>) -> Problem {
        let reason = rejection.reason();
        let retry_after = rejection.retry_after();
        let (outcome, detail) = match prior {
            Prior::None => (Outcome::NotRun, rejection.to_string()),
            Prior::Possible => (Outcome::MayHaveRun, format!("{rejection}; {UNKNOWN_PRIOR}")),
        };
        Problem {
            kind: format!("{TYPE_PREFIX}{reason}"),
            title: "the request was turned away",
            status: rejection.status(),
            detail,
            outcome,
            reason,
            id: id.map(|id| id.to_string()),
            retry_after_ms: retry_after.map(Span::as_millis),
            retry_after,
        }
    }
}

/// Status, reason and title of a kind of failure.
struct FailureKind {
    status: u16,
    reason: &'static str,
    title: &'static str,
}

impl FailureKind {
    /// Maps a failure to HTTP; the only place that does so.
    fn of(reason: Reason) -> FailureKind {
        let (status, reason, title) = match reason {
            Reason::Deadline => (504, "deadline", "the deadline passed"),
            Reason::Overload => (429, "overload", "the deadline could not have been met"),
            Reason::Quota => (429, "quota", "the firm's quota or queue is full"),
            Reason::Impossible => (422, "impossible", "no endpoint could ever run it"),
            Reason::NoEndpoint => (503, "no-endpoint", "no endpoint of the service is reachable"),
            Reason::Cancelled => (409, "cancelled", "it was cancelled"),
            Reason::HomeGone => (410, "home-gone", "its home is gone"),
            Reason::HomeUnreachable => (503, "home-unreachable", "its home is unreachable now"),
            Reason::Draining => (503, "draining", "the entry is stopping"),
            Reason::PlatformOut => (503, "platform-out", "the platform's service is out"),
            Reason::Conflict => (409, "conflict", "the id was used with other content"),
            Reason::Unknown => (404, "unknown", "the id is not known"),
            Reason::Expired => (410, "expired", "the id is too old"),
            Reason::NoContract => (403, "no-contract", "the firm has no contract for the service"),
            Reason::Size => (413, "size", "too few or too many tasks, or a body is too large"),
            Reason::Endpoint => (502, "endpoint", "an endpoint failed a task"),
        };
        FailureKind { status, reason, title }
    }
}

fn describe(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "nothing of it ran or will run",
        Outcome::MayHaveRun => "some of it may have run",
        Outcome::RanAndFailed => "it ran and failed",
    }
}

/// Returns the name of an outcome in headers and problems.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "not-run",
        Outcome::MayHaveRun => "may-have-run",
        Outcome::RanAndFailed => "ran-and-failed",
    }
}
