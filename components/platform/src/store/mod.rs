//! A key-value store with compare-and-swap, leases and watches.

pub mod txn;
pub mod watch;

pub use txn::{Compare, Op, Outcome, Put, Test, Txn};
pub use watch::{Change, Changes, Watch};

use crate::Error;
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use derive_more::{Display, From, FromStr};
use std::fmt;
use uuid::Uuid;

/// A key. Keys are ordered by their bytes.
#[derive(Clone, Debug, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(pub CompactString);

impl From<&str> for Key {
    fn from(text: &str) -> Key {
        Key(text.into())
    }
}

impl Key {
    /// Returns this key followed by `rest`.
    pub fn join(&self, rest: impl fmt::Display) -> Key {
        Key(format_compact!("{}{rest}", self.0))
    }
}

/// A version of the whole store. Increases with each change of any key.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist, in comparisons.
    pub const NONE: Revision = Revision(0);

    /// Returns the next revision; saturates at the largest.
    pub fn next(self) -> Revision {
        Revision(self.0.saturating_add(1))
    }
}

/// Identifier of a lease: at least 1 and at most `i64::MAX`.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseId(pub u64);

impl LeaseId {
    /// Returns a random identifier.
    pub fn random() -> LeaseId {
        let (high, _) = Uuid::new_v4().as_u64_pair();
        LeaseId((high >> 1).max(1))
    }
}

/// Duration in whole seconds, the unit of leases.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd)]
pub struct Seconds(pub u32);

/// The keys that a call reads, writes or watches.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Range {
    /// One key.
    Key(Key),
    /// All keys with this prefix, which is not empty.
    Prefix(Key),
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Consistency {
    /// Sees every change that was acknowledged before the read began.
    Linearizable,
    /// May be stale, but consistent as of some revision. Cheaper.
    Serializable,
}

/// A key with its value and metadata.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// Revision that created the key.
    pub create_revision: Revision,
    /// Revision of the last write; not below `create_revision`.
    pub mod_revision: Revision,
    /// Lease with which the key expires; `None` if it does not expire.
    pub lease: Option<LeaseId>,
}

/// Result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Revision of the store at the time of the read.
    pub revision: Revision,
    /// The keys and values, in the order of the keys.
    pub values: Vec<KeyValue>,
}

/// The platform's key-value store.
///
/// A call that fails with [`Error::Unreachable`] or [`Error::Refused`] has no effect. After any
/// other error a change may have taken effect, or may still do so; the caller finds out by reading.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads keys and values.
    async fn range(&self, range: Range, consistency: Consistency) -> Result<Listing, Error>;

    /// Reads keys without their values, which are empty in the result. Linearizable.
    async fn keys(&self, range: Range) -> Result<Listing, Error>;

    /// Runs a transaction: comparisons, then reads and writes, atomically.
    async fn txn(&self, txn: Txn) -> Result<Outcome, Error>;

    /// Writes one key; returns the revision of the write.
    async fn put(&self, put: Put) -> Result<Revision, Error>;

    /// Removes keys; returns how many existed.
    async fn delete(&self, range: Range) -> Result<u64, Error>;

    /// Creates the lease `id`, which expires `ttl` after its last keep-alive. The caller chooses a
    /// random identifier, so that a repeated call does not create a second lease.
    async fn grant(&self, id: LeaseId, ttl: Seconds) -> Result<(), Error>;

    /// Renews a lease; returns its time to live, or `None` if it has expired.
    async fn keep_alive(&self, id: LeaseId) -> Result<Option<Seconds>, Error>;

    /// Revokes a lease and removes its keys.
    async fn revoke(&self, id: LeaseId) -> Result<(), Error>;

    /// Watches changes from revision `from` on. If that revision has been compacted, the watch ends
    /// with [`Code::OutOfRange`](crate::Code::OutOfRange).
    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error>;
}
