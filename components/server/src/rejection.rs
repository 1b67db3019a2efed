//! Rejections of requests by the HTTP API itself, before anything is submitted.

use derive_more::{Display, Error};
use site::{
    submission::MAX_TASKS,
    unit::{Memory, Span},
};

/// Time until a caller may retry at an entry that is out of waiters or memory.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Reason for which a request is rejected.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Rejection {
    /// No route has this path.
    #[display("no such resource")]
    NoRoute,
    /// The route has no such method.
    #[display("method not allowed here: use {allowed}")]
    Method {
        /// Methods of the route, as in the `Allow` header.
        allowed: &'static str,
    },
    /// The key is missing, unknown, or of the wrong kind of holder.
    #[display("an `Authorization: Bearer` header with a valid key is needed")]
    Key,
    /// The service is not in the settings.
    #[display("no such service")]
    UnknownService,
    /// The firm may not use the service.
    #[display("the firm has no contract for this service")]
    NoContract,
    /// The firm has no such crew.
    #[display("the firm has no such crew")]
    UnknownCrew,
    /// An identifier is malformed.
    #[display("malformed id: expected a home token, '.' and a UUID")]
    MalformedId,
    /// The request has both an id and a key, or one of them twice.
    #[display("give either an id or an Idempotency-Key, once")]
    AmbiguousId,
    /// A caller's key is empty, too long or not printable ASCII.
    #[display("malformed Idempotency-Key: expected 1 to 128 printable ASCII characters")]
    MalformedKey,
    /// A key was used with `wait=false`; keys require a caller that waits.
    #[display("an Idempotency-Key needs wait=true; use an id instead")]
    KeyWithoutWait,
    /// A deadline is malformed.
    #[display("malformed deadline: expected a whole number and one of us, ms, s, min")]
    MalformedDeadline,
    /// A deadline is zero or negative, or passed before the request was read.
    #[display("the deadline has passed")]
    DeadlinePassed,
    /// A boolean header is neither `true` nor `false`.
    #[display("malformed {header}: expected true or false")]
    MalformedFlag {
        /// Name of the header.
        header: &'static str,
    },
    /// A query parameter is unknown or malformed.
    #[display("unknown or malformed query parameter")]
    MalformedQuery,
    /// A content length is malformed or given twice.
    #[display("malformed Content-Length")]
    MalformedLength,
    /// The transfer coding is not `chunked`.
    #[display("unsupported Transfer-Encoding: expected chunked")]
    UnsupportedCoding,
    /// A body ended early or its framing is broken.
    #[display("the body ended before its announced length")]
    TruncatedBody,
    /// The request did not arrive in time.
    #[display("the request did not arrive within {limit}")]
    SlowBody {
        /// Limit that was exceeded.
        limit: Span,
    },
    /// A body exceeds the limit.
    #[display("the body is larger than {limit}")]
    LargeBody {
        /// Limit that was exceeded.
        limit: Memory,
    },
    /// A task's body exceeds the service's limit.
    #[display("the body of task {index} is larger than {limit}")]
    LargeTask {
        /// Index of the task, from 0.
        index: usize,
        /// Limit that was exceeded.
        limit: Memory,
    },
    /// The body of a job is not JSON.
    #[display("malformed JSON at line {line}, column {column}")]
    MalformedJson {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
    },
    /// The body of a job is JSON but not a job.
    #[display("not a job: {detail}")]
    MalformedJob {
        /// Error of the JSON parser, with line and column.
        detail: String,
    },
    /// A task's body is declared as base64 and is not.
    #[display("the body of task {index} is not base64 text")]
    MalformedEncoding {
        /// Index of the task, from 0.
        index: usize,
    },
    /// A job has no tasks.
    #[display("a job needs at least one task")]
    NoTasks,
    /// A job has too many tasks.
    #[display("the job has {tasks} tasks; at most {MAX_TASKS} are allowed")]
    TooManyTasks {
        /// Number of tasks in the job.
        tasks: usize,
    },
    /// The caller closed its side of the connection while its submission was in progress.
    #[display("the connection was closed before the answer was ready; fetch it by its id")]
    Abandoned,
    /// Too many callers wait for answers at this entry.
    #[display("too many callers are waiting at this entry")]
    TooManyWaiters,
    /// The bodies of other requests use all of the memory budget.
    #[display("no memory for the body now")]
    NoMemory,
}

impl Rejection {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Rejection::NoRoute | Rejection::UnknownService => 404,
            Rejection::Method { .. } => 405,
            Rejection::Key => 401,
            Rejection::NoContract => 403,
            Rejection::SlowBody { .. } | Rejection::Abandoned => 408,
            Rejection::LargeBody { .. }
            | Rejection::LargeTask { .. }
            | Rejection::TooManyTasks { .. } => 413,
            Rejection::UnknownCrew | Rejection::NoTasks => 422,
            Rejection::UnsupportedCoding => 501,
            Rejection::TooManyWaiters | Rejection::NoMemory => 503,
            Rejection::DeadlinePassed => 504,
            Rejection::MalformedId
            | Rejection::AmbiguousId
            | Rejection::MalformedKey
            | Rejection::KeyWithoutWait
            | Rejection::MalformedDeadline
            | Rejection::MalformedFlag { .. }
            | Rejection::MalformedQuery
            | Rejection::MalformedLength
            | Rejection::TruncatedBody
            | Rejection::MalformedJson { .. }
            | Rejection::MalformedJob { .. }
            | Rejection::MalformedEncoding { .. } => 400,
        }
    }

    /// Returns the machine-readable code.
    pub fn reason(&self) -> &'static str {
        match self {
            Rejection::NoRoute => "no-route",
            Rejection::Method { .. } => "method",
            Rejection::Key => "key",
            Rejection::UnknownService => "unknown-service",
            Rejection::NoContract => "no-contract",
            Rejection::UnknownCrew => "unknown-crew",
            Rejection::MalformedId => "malformed-id",
            Rejection::AmbiguousId => "ambiguous-id",
            Rejection::MalformedKey => "malformed-key",
            Rejection::KeyWithoutWait => "key-without-wait",
            Rejection::MalformedDeadline => "malformed-deadline",
            Rejection::DeadlinePassed => "deadline-passed",
            Rejection::MalformedFlag { .. } => "malformed-flag",
            Rejection::MalformedQuery => "malformed-query",
            Rejection::MalformedLength => "malformed-length",
            Rejection::UnsupportedCoding => "unsupported-coding",
            Rejection::TruncatedBody => "truncated-body",
            Rejection::SlowBody { .. } => "slow-body",
            Rejection::LargeBody { .. } => "large-body",
            Rejection::LargeTask { .. } => "large-task",
            Rejection::MalformedJson { .. } => "malformed-json",
            Rejection::MalformedJob { .. } => "malformed-job",
            Rejection::MalformedEncoding { .. } => "malformed-encoding",
            Rejection::NoTasks => "no-tasks",
            Rejection::TooManyTasks { .. } => "too-many-tasks",
            Rejection::Abandoned => "abandoned",
            Rejection::TooManyWaiters => "too-many-waiters",
            Rejection::NoMemory => "no-memory",
        }
    }

    /// Returns the time until a retry is useful; `None` if a retry would not help.
    pub fn retry_after(&self) -> Option<Span> {
        match self {
            Rejection::TooManyWaiters | Rejection::NoMemory => Some(RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns whether bytes of the request may be unread, so that the connection can't be reused.
    pub fn leaves_unread_bytes(&self) -> bool {
        !matches!(
            self,
            Rejection::MalformedJson { .. }
                | Rejection::MalformedJob { .. }
                | Rejection::MalformedEncoding { .. }
                | Rejection::LargeTask { .. }
                | Rejection::NoTasks
                | Rejection::TooManyTasks { .. }
        )
    }
}
