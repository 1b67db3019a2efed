//! What is known about an attempt once its call has ended.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use site::{id::AttemptId, submission::Output, unit::Span};

/// Result of one call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The attempt of the call.
    pub attempt: AttemptId,
    /// What is known about it.
    pub reply: Reply,
    /// Whether the endpoint reported that it is shutting down and accepts no new work.
    pub leaving: bool,
    /// Duration of the call.
    pub elapsed: Span,
}

/// What is known about an attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It ran and returned a response with a status below 500.
    Done(Output),
    /// It ran and failed: a complete response with status 500 or above that is not marked as a
    /// refusal.
    Failed(Output),
    /// It did not run and never will: the endpoint reported so.
    Refused {
        /// Why the endpoint refused.
        reason: Refusal,
        /// Time after which the endpoint may accept work again; `None` if it did not report one.
        retry_after: Option<Span>,
    },
    /// It did not run and never will: no byte of the request was sent.
    NotSent(Unsent),
    /// It may have run: part of the request was sent, and no complete response arrived or will
    /// arrive.
    Lost(Loss),
    /// It may have run or still be running: no complete response arrived within the time limit.
    TimedOut,
}

impl Reply {
    /// Whether the attempt may have run. If so, a task that is not repeatable must not be attempted
    /// again.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Reply::Refused { .. } | Reply::NotSent(_))
    }

    /// Returns a short name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Reply::Done(_) => "done",
            Reply::Failed(_) => "failed",
            Reply::Refused { .. } => "refused",
            Reply::NotSent(_) => "not sent",
            Reply::Lost(_) => "lost",
            Reply::TimedOut => "timed out",
        }
    }
}

/// Why an endpoint refused an attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// It has no free capacity.
    #[display("busy")]
    Busy,
    /// It is shutting down.
    #[display("leaving")]
    Leaving,
    /// It reported another reason or none.
    #[display("other")]
    Other,
}

/// Why no byte of a request was sent.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unsent {
    /// The endpoint refused the connection.
    #[display("connection refused")]
    ConnectRefused,
    /// The connection was not established in time.
    #[display("connect timed out")]
    ConnectTimedOut,
    /// The connection could not be opened for another reason.
    #[display("connect failed")]
    ConnectFailed,
    /// Every connection stayed in use until the time limit.
    #[display("no free connection")]
    NoConnection,
    /// The connection ended before the first byte was written.
    #[display("connection closed before the request")]
    Closed,
    /// The request could not be written as HTTP.
    #[display("invalid request")]
    Invalid,
}

/// Why an attempt has no complete response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// The connection ended before the first byte of the response.
    #[display("connection closed before the answer")]
    Closed,
    /// The connection ended within the response.
    #[display("answer truncated")]
    Truncated,
    /// The response is not valid HTTP/1.1, or its end can't be distinguished from a truncation.
    #[display("malformed answer")]
    Malformed,
    /// The response body is larger than the limit.
    #[display("answer too large")]
    TooLarge,
    /// The connection is dead, but the endpoint is alive. It reports that the attempt does not run,
    /// or does not report states and the request has been idle for longer than any task runs.
    #[display("silent connection")]
    SilentConnection,
    /// The operating system closed the connection, but the endpoint is alive. The state of the
    /// attempt was not requested.
    #[display("dead connection")]
    DeadConnection,
    /// The operating system closed the connection, and the endpoint does not respond.
    #[display("silent endpoint")]
    SilentEndpoint,
    /// The response names another attempt.
    #[display("answer to another attempt")]
    Mismatch,
    /// The worker stopped the task before its end.
    #[display("stopped")]
    Stopped,
    /// The worker has received this attempt before.
    #[display("repeated attempt")]
    Repeated,
}
