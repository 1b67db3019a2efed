//! Calls of the gateway's API and their counters.

use std::sync::atomic::{AtomicU64, Ordering};

/// Method of the API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Call {
    Range,
    Put,
    Delete,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl Call {
    /// Returns the HTTP path of the method.
    pub(super) fn path(self) -> &'static str {
        match self {
            Call::Range => "/v3/kv/range",
            Call::Put => "/v3/kv/put",
            Call::Delete => "/v3/kv/deleterange",
            Call::Txn => "/v3/kv/txn",
            Call::Grant => "/v3/lease/grant",
            Call::KeepAlive => "/v3/lease/keepalive",
            Call::Revoke => "/v3/kv/lease/revoke",
            Call::Watch => "/v3/watch",
        }
    }

    /// Whether the request may be sent to another address after it was sent to one.
    pub(super) fn is_repeatable(self) -> bool {
        matches!(self, Call::Range | Call::KeepAlive | Call::Watch)
    }
}

/// Number of calls since the client started, without those that reached no address.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Number of reads.
    pub reads: u64,
    /// Number of writes, removals, transactions and lease calls.
    pub writes: u64,
    /// Number of watches opened.
    pub watches: u64,
}

impl Calls {
    /// Returns the number of all calls.
    pub fn total(self) -> u64 {
        self.reads + self.writes + self.watches
    }
}

/// Counters of calls.
#[derive(Debug, Default)]
pub(super) struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl Counters {
    pub(super) fn count(&self, call: Call) {
        let counter = match call {
            Call::Range => &self.reads,
            Call::Watch => &self.watches,
            _ => &self.writes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub(super) fn calls(&self) -> Calls {
        Calls {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }
}
