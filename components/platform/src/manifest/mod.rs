//! The accepted settings: file bodies stored by digest, and one manifest that references them.
//!
//! A change is accepted by a compare-and-swap of the manifest, whose revision only increases. A
//! small document with the last changes is written in the same transaction.

mod accept;
mod changes;
mod feed;
mod fetch;
mod prune;

pub use accept::{Acceptance, accept};
pub use feed::Feed;
pub use fetch::{Settings, bodies, fetch};
pub use prune::prune;

use crate::{
    Store, path,
    store::{Compare, Consistency, Key, Range, Revision as StoreRevision},
    text,
};
use bytes::Bytes;
use changes::Changes;
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use settings::Digest;
use site::unit::Revision;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use uuid::Uuid;

/// Number of accepted changes in a manifest's history, so that the result of a change whose
/// response was lost can be found after further changes.
const MAX_HISTORY_CHANGES: usize = 64;

/// Maximum size of the manifest and of a file, in bytes: the maximum value size of the store.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Maximum number of attempts of one change or read.
const MAX_ATTEMPTS: usize = 5;

/// Maximum size of the values in one transaction, in bytes. A single value may be larger.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Maximum number of values in one transaction.
const MAX_BATCH_OPS: usize = 64;

/// A file of the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct File {
    /// Digest of its body; the body is stored under it.
    #[serde(with = "text")]
    pub digest: Digest,
    /// Length of its body, in bytes.
    pub size: u32,
}

/// An accepted change in a manifest's history.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Identifier of the change.
    pub change: Uuid,
}

/// The accepted settings, without the bodies.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Increases by one with each accepted change; 0 before the first.
    pub revision: Revision,
    /// Identifier of the change that produced this revision.
    pub change: Uuid,
    /// Files by name.
    pub files: BTreeMap<CompactString, File>,
    /// The last accepted changes including this one, oldest first.
    pub recent: VecDeque<Accepted>,
}

impl Manifest {
    /// Returns the revision that a change produced; `None` if the change is not in the history.
    pub fn accepted(&self, change: Uuid) -> Option<Revision> {
        self.recent.iter().find(|accepted| accepted.change == change).map(|found| found.revision)
    }

    /// Returns the digests of all files.
    pub fn digests(&self) -> BTreeSet<Digest> {
        self.files.values().map(|file| file.digest).collect()
    }

    /// Returns the manifest that follows this one.
    fn succeed(&self, files: BTreeMap<CompactString, File>, change: Uuid) -> Manifest {
        let revision = self.revision + Revision(1);
        let mut recent = self.recent.clone();
        recent.push_back(Accepted { revision, change });
        while recent.len() > MAX_HISTORY_CHANGES {
            recent.pop_front();
        }
        Manifest { revision, change, files, recent }
    }
}

/// Why settings were not read or changed.
#[derive(Clone, Debug, Display, Error, Eq, From, PartialEq)]
pub enum Error {
    /// The store failed.
    #[from]
    Store(crate::Error),
    /// A file is too large.
    #[display("{name} has {size} bytes; split it into files of at most {VALUE_LIMIT} bytes")]
    FileTooLarge {
        /// The file.
        name: CompactString,
        /// Size in bytes.
        size: usize,
    },
    /// There are too many files, so that the manifest exceeds [`VALUE_LIMIT`].
    #[display("the manifest takes {size} bytes, more than {VALUE_LIMIT}; merge small files")]
    ManifestTooLarge {
        /// Size in bytes.
        size: usize,
    },
    /// The stored manifest can't be parsed.
    #[display("the stored manifest is malformed")]
    Malformed,
    /// A file's body is not in the store, or does not match its digest. If the manifest was just
    /// read, it is outdated.
    #[display("the store lacks the settings file with digest {digest}")]
    Missing {
        /// Digest of the file.
        digest: Digest,
    },
}

/// The manifest and changes as read from the store.
struct Stored {
    manifest: Manifest,
    /// The changes document; the default if it is missing or malformed.
    changes: Changes,
    /// Store revision of the manifest's last write; [`StoreRevision::NONE`] if there is no
    /// manifest.
    modified: StoreRevision,
}

impl Default for Stored {
    fn default() -> Stored {
        let (manifest, changes) = (Manifest::default(), Changes::default());
        Stored { manifest, changes, modified: StoreRevision::NONE }
    }
}

impl Stored {
    async fn read(store: &dyn Store) -> Result<Stored, Error> {
        // The keys of the manifest and the changes have a common prefix.
        let range = Range::Prefix(path::MANIFEST.into());
        let listing = store.range(range, Consistency::Linearizable).await?;
        let mut stored = Stored::default();
        for found in listing.values {
            if found.key == Key::from(path::MANIFEST) {
                stored.manifest = decode(&found.value).ok_or(Error::Malformed)?;
                stored.modified = found.mod_revision;
            } else if found.key == Key::from(path::CHANGES) {
                stored.changes = decode(&found.value).unwrap_or_default();
            }
        }
        Ok(stored)
    }

    /// Returns the condition that the stored manifest is still this one.
    fn unchanged(&self) -> Compare {
        Compare::unchanged(path::MANIFEST.into(), self.modified)
    }
}

/// Returns the store key of a file's body.
pub fn body_key(digest: Digest) -> Key {
    Key::from(path::FILES).join(digest)
}

fn decode<T: DeserializeOwned>(value: &Bytes) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Splits values into parts that each fit into one transaction.
fn split<T>(values: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for value in values {
        let bytes = size(&value);
        match parts.last_mut() {
            Some(part) if part.len() < MAX_BATCH_OPS && bytes <= room => {
                room -= bytes;
                part.push(value);
            }
            _ => {
                room = MAX_BATCH_BYTES.saturating_sub(bytes);
                parts.push(vec![value]);
            }
        }
    }
    parts
}
