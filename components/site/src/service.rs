//! Services: kinds of work that tasks request from endpoints.

use crate::unit::{Memory, Resources, Slots, Span};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The kind of endpoints that run the tasks of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// Executors, with one slot for each task.
    #[default]
    Executors,
    /// Workers, by the resources that a task needs.
    Workers,
}

/// Settings of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Service {
    /// Name, unique among the services.
    pub name: CompactString,
    /// The kind of endpoints that run its tasks.
    #[serde(default)]
    pub place: Place,
    /// Whether a task may run again after an attempt that may have run. A request may forbid this,
    /// but can't allow it if the service does not.
    #[serde(default)]
    pub repeatable: bool,
    /// Deadline of a request without one.
    #[serde(default = "default_deadline")]
    pub deadline: Span,
    /// Number of requests that one executor serves at one time.
    #[serde(default = "default_slots")]
    pub slots: Slots,
    /// Number of connections that one executor accepts from the whole site.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Expected run time of a task; a hint that measured times replace.
    #[serde(default = "default_run_time")]
    pub run_time: Span,
    /// Resources that a task needs on a worker; a hint that measured usage replaces.
    #[serde(default)]
    pub needs: Resources,
    /// Maximum size of the body of a request or an answer.
    #[serde(default = "default_body_limit")]
    pub body_limit: Memory,
}

fn default_deadline() -> Span {
    Span::from_secs(30)
}

fn default_slots() -> Slots {
    Slots(8)
}

fn default_connections() -> u32 {
    64
}

fn default_run_time() -> Span {
    Span::from_millis(300)
}

fn default_body_limit() -> Memory {
    Memory(1 << 20)
}
