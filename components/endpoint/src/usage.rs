//! Resource usage of a worker's tasks, as the worker measures it.

use crate::protocol::Token;
use serde::{Deserialize, Serialize};
use site::unit::{Resources, Span};

/// A measurement of all running tasks of a worker.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Time since the measurement.
    pub age: Span,
    /// The running tasks, unordered.
    pub tasks: Vec<Task>,
}

/// Resource usage of one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The attempt that runs. It may have been made by another process.
    pub attempt: Token,
    /// Measured usage. Slots are zero.
    pub used: Resources,
}
