//! Transactions.

use super::{Key, LeaseId, Listing, Range, Revision};
use bytes::Bytes;

/// Maximum number of operations in one transaction: etcd's default.
pub const OPS_LIMIT: usize = 128;

/// Condition on a key. Revisions of a key that does not exist are [`Revision::NONE`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Test {
    /// The last write has this revision.
    Modified(Revision),
    /// The key was created at this revision.
    Created(Revision),
    /// The key exists and has this value.
    Value(Bytes),
}

/// A key and a condition on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Compare {
    /// The key.
    pub key: Key,
    /// The condition.
    pub test: Test,
}

impl Compare {
    /// Returns the condition that the key does not exist.
    pub fn absent(key: Key) -> Compare {
        Compare { key, test: Test::Created(Revision::NONE) }
    }

    /// Returns the condition that the last write of the key has revision `revision`.
    pub fn unchanged(key: Key, revision: Revision) -> Compare {
        Compare { key, test: Test::Modified(revision) }
    }
}

/// A write of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Bytes,
    /// Lease with which the key expires; `None` if it does not expire.
    pub lease: Option<LeaseId>,
}

/// An operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Reads keys; the result is in [`Outcome::listings`].
    Get(Range),
    /// Writes one key.
    Put(Put),
    /// Removes keys.
    Delete(Range),
}

/// A transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions. If all hold, `success` is executed, otherwise `failure`.
    pub compares: Vec<Compare>,
    /// Operations if all conditions hold; at most [`OPS_LIMIT`], and no key is written twice.
    pub success: Vec<Op>,
    /// Operations if a condition does not hold; with the same limits.
    pub failure: Vec<Op>,
}

/// Result of a transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
    /// Results of the reads, in the order of the operations.
    pub listings: Vec<Listing>,
}
