//! The interface to endpoints.

use crate::{Call, Report, Unsent, Usage};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use site::id::AttemptId;
use std::net::SocketAddr;

/// Sends calls to endpoints.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Runs one attempt and reports what is known about it. The request is sent at most once.
    ///
    /// Dropping the future closes the connection; the attempt may then have run.
    async fn call(&self, call: Call) -> Report;

    /// Requests that a worker stops an attempt, or never starts it.
    async fn stop(&self, address: SocketAddr, attempt: AttemptId) -> Stop;

    /// Checks over a new connection whether an endpoint is alive.
    async fn probe(&self, address: SocketAddr) -> Probe;

    /// Requests the resource usage of a worker's tasks; `None` if the worker does not respond.
    async fn usage(&self, address: SocketAddr) -> Option<Usage>;
}

/// Result of a request to stop an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stop {
    /// The attempt did not start and never will.
    NeverRuns,
    /// The attempt was running and has been stopped.
    Stopped,
    /// The attempt had ended before.
    Ended,
    /// The worker did not respond.
    Unknown,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Probe {
    /// The endpoint responded.
    Alive {
        /// Whether it accepts no new work.
        leaving: bool,
    },
    /// No connection to the endpoint could be opened.
    Unreachable(Unsent),
    /// A connection was opened, but no response arrived.
    Silent,
}
