//! The HTTP/1.1 protocol with endpoints: headers, paths, and the text format of attempts.
//!
//! `docs/WORKERS.md` describes the protocol.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use site::id::{AttemptId, Incarnation};
use std::{fmt, str::FromStr};

/// Request header with the task's identifier.
pub const TASK: &str = "Primrosestep-Task";
/// Header with the attempt's [`Token`].
pub const ATTEMPT: &str = "Primrosestep-Attempt";
/// Request header with the service of a task on a worker.
pub const SERVICE: &str = "Primrosestep-Service";
/// Request header with the cores that a task needs.
pub const CORES: &str = "Primrosestep-Cores";
/// Request header with the memory that a task needs.
pub const MEMORY: &str = "Primrosestep-Memory";
/// Request header with the accelerators that a task needs.
pub const ACCELERATORS: &str = "Primrosestep-Accelerators";
/// Request header with the duration of the lease on a task, from the arrival of the request.
pub const LEASE: &str = "Primrosestep-Lease";
/// Response header with the result of an attempt without output: one of the constants in
/// [`outcome`].
pub const OUTCOME: &str = "Primrosestep-Outcome";
/// Response header with the reason of a refusal: one of the constants in [`refusal`].
pub const REFUSAL: &str = "Primrosestep-Refusal";
/// Response header that is `1` if the endpoint accepts no new work.
pub const LEAVING: &str = "Primrosestep-Leaving";
/// Header of the response to a health request about an attempt: one of the constants in [`state`].
pub const ATTEMPT_STATE: &str = "Primrosestep-Attempt-State";

/// Path of the health request.
pub const HEALTH_PATH: &str = "healthz";
/// Path prefix of the tasks of a worker.
pub const TASKS_PATH: &str = "v1/tasks";
/// Path of the usage of a worker.
pub const USAGE_PATH: &str = "v1/usage";

/// Values of [`OUTCOME`].
pub mod outcome {
    /// The attempt did not run and never will.
    pub const NOT_RUN: &str = "not-run";
    /// The attempt started and was stopped before its end.
    pub const STOPPED: &str = "stopped";
    /// The attempt was received before; this request started nothing.
    pub const REPEATED: &str = "repeated";
}

/// Values of [`REFUSAL`].
pub mod refusal {
    /// The endpoint has no free capacity.
    pub const BUSY: &str = "busy";
    /// The endpoint is shutting down.
    pub const LEAVING: &str = "leaving";
}

/// Values of [`ATTEMPT_STATE`], and of the `state` member of a worker's response bodies.
pub mod state {
    /// The endpoint has not received the attempt.
    pub const UNKNOWN: &str = "unknown";
    /// The attempt has started and not ended.
    pub const RUNNING: &str = "running";
    /// The attempt has ended.
    pub const ENDED: &str = "ended";
    /// The attempt has not started and never will.
    pub const NEVER: &str = "never";
}

/// Identifier of an attempt in the protocol: unique among the attempts of all processes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Token {
    /// The process that made the attempt.
    pub incarnation: Incarnation,
    /// Identifier of the attempt within the process.
    pub attempt: AttemptId,
}

/// The text is not a [`Token`].
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("not an attempt: expected two hexadecimal numbers joined by '-'")]
pub struct ParseError;

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.incarnation.0, self.attempt.0)
    }
}

impl FromStr for Token {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (incarnation, attempt) = s.split_once('-').ok_or(ParseError)?;
        let parse = |text| u64::from_str_radix(text, 16).map_err(|_| ParseError);
        Ok(Token {
            incarnation: Incarnation(parse(incarnation)?),
            attempt: AttemptId(parse(attempt)?),
        })
    }
}

impl TryFrom<String> for Token {
    type Error = ParseError;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl From<Token> for String {
    fn from(token: Token) -> String {
        token.to_string()
    }
}
