//! One attempt to run a task on one endpoint.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use site::{
    id::{AttemptId, TaskId},
    service::Place,
    unit::{Memory, Resources, Span},
};
use std::net::SocketAddr;

/// One attempt to run a task. Its request is sent at most once.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Unique among the calls of this process.
    pub attempt: AttemptId,
    /// The task that the attempt runs.
    pub task: TaskId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Whether the endpoint is an executor or a worker, which speak different protocols.
    pub place: Place,
    /// Name of the service.
    pub service: CompactString,
    /// Media type of the body.
    pub content_type: CompactString,
    /// Body of the request, sent unchanged.
    pub body: Bytes,
    /// Resources that the task occupies; only used for workers.
    pub needs: Resources,
    /// Timeout until the whole response has arrived, including the wait for a connection.
    pub time_limit: Span,
    /// Maximum size of the response body.
    pub body_limit: Memory,
    /// Maximum number of connections from this process to the endpoint; at least 1.
    pub connections: u32,
}
