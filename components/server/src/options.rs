//! Limits of the HTTP API.

use serde::{Deserialize, Serialize};
use site::unit::{Memory, Span};

/// Limits of the HTTP API. Each has a default.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Options {
    /// Maximum time from the first byte of a request until its head and body have arrived.
    pub receive_limit: Span,
    /// Maximum time from the first byte of a response until the caller has received all of it.
    pub send_limit: Span,
    /// Time after which a connection without a request is closed.
    pub idle_limit: Span,
    /// Maximum number of callers that wait for an answer at the same time.
    pub waiters: usize,
    /// Maximum number of open connections. Higher than `waiters`, so that excess callers get a
    /// response.
    pub connections: usize,
    /// Maximum size of the body of a job with all its tasks.
    pub job_limit: Memory,
    /// Maximum memory for the bodies of all current requests.
    pub body_memory: Memory,
    /// Maximum time that a fetch may wait.
    pub fetch_limit: Span,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            receive_limit: Span::from_secs(10),
            send_limit: Span::from_secs(30),
            idle_limit: Span::from_secs(120),
            waiters: 8_192,
            connections: 12_288,
            job_limit: Memory(16 << 20),
            body_memory: Memory(256 << 20),
            fetch_limit: Span::from_secs(60),
        }
    }
}
