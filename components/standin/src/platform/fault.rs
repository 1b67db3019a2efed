//! Fault settings of the platform's stand-in, and counters of received calls.

use serde::{Deserialize, Serialize};

/// Active faults.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed without a response and calls have no effect.
    pub down: bool,
    /// Delay before a call takes effect, in milliseconds.
    pub slow: u64,
    /// Number of calls that change keys or leases whose response is lost after the change.
    pub lose_answers: u32,
    /// Number of changes of keys to hold back: they get no response and take effect when released.
    pub hold_changes: u32,
    /// Keys under this prefix are served as they were when this was set; off if empty.
    pub lag: String,
}

/// A change of the faults. Absent fields leave their fault unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// See [`Faults::down`].
    pub down: Option<bool>,
    /// See [`Faults::slow`].
    pub slow: Option<u64>,
    /// See [`Faults::lose_answers`].
    pub lose_answers: Option<u32>,
    /// See [`Faults::hold_changes`].
    pub hold_changes: Option<u32>,
    /// Applies the changes held back, once.
    pub release: bool,
    /// See [`Faults::lag`].
    pub lag: Option<String>,
    /// Expires all leases, once.
    pub expire_leases: bool,
    /// Closes all open watches, once.
    pub cut_watches: bool,
}

/// Number of calls received, including those that a fault dropped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Calls {
    /// Range reads.
    pub reads: u64,
    /// Writes, removals, transactions, compactions, and calls that concern leases.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

/// The response to `GET /faults`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Active faults.
    pub faults: Faults,
    /// Number of calls so far.
    pub calls: Calls,
}
