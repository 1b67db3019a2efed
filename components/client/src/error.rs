//! Errors of the client.

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use site::{id::SubmissionId, submission::Outcome, unit::Span};

/// Problem details (RFC 9457) that an entry returned.
#[derive(Clone, Debug, Deserialize, Display, Eq, Error, PartialEq, Serialize)]
#[display("{detail} ({reason}, status {status})")]
pub struct Problem {
    /// HTTP status of the response.
    pub status: u16,
    /// Machine-readable code of the kind of problem.
    pub reason: CompactString,
    /// Outcome of the submission: not run, may have run, or ran and failed.
    pub outcome: Outcome,
    /// Human-readable explanation of this occurrence.
    pub detail: String,
    /// Identifier of the submission; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<CompactString>,
    /// Time until a retry is useful, in milliseconds; absent if a retry would not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the time until a retry is useful; `None` if a retry would not help.
    pub fn retry_after(&self) -> Option<Span> {
        self.retry_after_ms.map(Span::from_millis)
    }
}

/// Error of a client call.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Error {
    /// The client was created without entries.
    #[display("no entry is named: give at least one address")]
    NoEntries,
    /// An entry returned a problem that a retry does not solve.
    #[display("{_0}")]
    Problem(Problem),
    /// The deadline passed without a final answer.
    #[display("no final answer before the deadline")]
    Deadline {
        /// Identifier of the submission; `None` if none was created.
        id: Option<SubmissionId>,
        /// Outcome of the submission: not run, may have run, or ran and failed.
        outcome: Outcome,
    },
    /// No entry responds.
    #[display("no entry answers: check the addresses and that the entries run")]
    Unreachable,
    /// A response does not have the format of an entry's.
    #[display("the response with status {status} is not an entry's: check the address")]
    Malformed {
        /// HTTP status of the response.
        status: u16,
    },
}

impl Error {
    /// Returns the outcome of the submission; `None` if the error does not determine it.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Error::Problem(problem) => Some(problem.outcome),
            Error::Deadline { outcome, .. } => Some(*outcome),
            Error::NoEntries => Some(Outcome::NotRun),
            // Only queries end with these, and the submission that they ask about may have run.
            Error::Unreachable | Error::Malformed { .. } => None,
        }
    }
}
