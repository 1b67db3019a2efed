//! Accepts changes of the settings.

use super::{Error, File, MAX_ATTEMPTS, Manifest, Stored, VALUE_LIMIT, body_key, split};
use crate::{
    Store, path,
    store::{Op, Put, Txn},
};
use bytes::Bytes;
use compact_str::CompactString;
use settings::{Digest, Files, digest};
use site::unit::Revision;
use std::collections::BTreeMap;
use uuid::Uuid;

/// Result of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// The change is in force, as of this call or an earlier one.
    Accepted {
        /// Revision of the settings that the change produced.
        revision: Revision,
    },
    /// The settings are not those that the change is based on. The change will not take effect.
    Conflict {
        /// Manifest of the current settings.
        current: Box<Manifest>,
    },
}

/// Replaces the settings of revision `base` by `files`. `base` is 0 if there are no settings yet.
///
/// The call may be repeated with the same `change` after any error. It reports whether the change
/// was accepted for as long as the change is in the manifest's history.
///
/// # Errors
///
/// The store is unavailable, or the files are too large. After an error for which
/// [`is_indeterminate`](crate::Error::is_indeterminate) is true, the change may be in force or may
/// still come into force.
pub async fn accept(
    store: &dyn Store,
    base: Revision,
    files: &Files,
    change: Uuid,
) -> Result<Acceptance, Error> {
    let described = describe(files)?;
    let mut outcome = Err(crate::Error::Unknown.into());
    for _ in 0..MAX_ATTEMPTS {
        let stored = Stored::read(store).await?;
        if let Some(revision) = stored.manifest.accepted(change) {
            return Ok(Acceptance::Accepted { revision });
        }
        if stored.manifest.revision != base {
            return Ok(Acceptance::Conflict { current: Box::new(stored.manifest) });
        }
        upload(store, &stored, files, &described).await?;
        let next = stored.manifest.succeed(described.clone(), change);
        match swap(store, &stored, &next).await {
            Ok(true) => return Ok(Acceptance::Accepted { revision: next.revision }),
            Ok(false) => {}
            Err(Error::Store(error)) if error.is_indeterminate() => outcome = Err(error.into()),
            Err(error) => return Err(error),
        }
    }
    outcome
}

fn describe(files: &Files) -> Result<BTreeMap<CompactString, File>, Error> {
    let file = |(name, body): (&CompactString, &Bytes)| match u32::try_from(body.len()) {
        Ok(size) if body.len() <= VALUE_LIMIT => {
            Ok((name.clone(), File { digest: digest(body), size }))
        }
        _ => Err(Error::FileTooLarge { name: name.clone(), size: body.len() }),
    };
    files.iter().map(file).collect()
}

/// Writes the bodies that the stored manifest does not reference. They are written even if they
/// exist, since pruning keeps only unreferenced bodies that were written after the manifest.
async fn upload(
    store: &dyn Store,
    stored: &Stored,
    files: &Files,
    described: &BTreeMap<CompactString, File>,
) -> Result<(), Error> {
    let known = stored.manifest.digests();
    let new: BTreeMap<Digest, Bytes> = described
        .iter()
        .filter(|(_, file)| !known.contains(&file.digest))
        .filter_map(|(name, file)| Some((file.digest, files.get(name)?.clone())))
        .collect();
    for part in split(new.into_iter().collect(), |(_, body)| body.len()) {
        let put = |(digest, value)| Op::Put(Put { key: body_key(digest), value, lease: None });
        write(store, part.into_iter().map(put).collect()).await?;
    }
    Ok(())
}

/// Writes unconditionally; the writes are idempotent.
async fn write(store: &dyn Store, ops: Vec<Op>) -> Result<(), crate::Error> {
    let txn = Txn { success: ops, ..Txn::default() };
    for _ in 1..MAX_ATTEMPTS {
        match store.txn(txn.clone()).await {
            Err(error) if error.is_indeterminate() => {}
            result => return result.map(drop),
        }
    }
    store.txn(txn).await.map(drop)
}

/// Replaces the stored manifest by `next`. Returns false if it was changed meanwhile.
async fn swap(store: &dyn Store, stored: &Stored, next: &Manifest) -> Result<bool, Error> {
    let value = serde_json::to_vec(next).map_err(|_| Error::Malformed)?;
    if value.len() > VALUE_LIMIT {
        return Err(Error::ManifestTooLarge { size: value.len() });
    }
    let changes = stored.changes.succeed(&stored.manifest, next);
    let changes = serde_json::to_vec(&changes).map_err(|_| Error::Malformed)?;
    let put = |key: &str, value: Vec<u8>| {
        Op::Put(Put { key: key.into(), value: value.into(), lease: None })
    };
    let writes = vec![put(path::MANIFEST, value), put(path::CHANGES, changes)];
    let txn = Txn { compares: vec![stored.unchanged()], success: writes, failure: vec![] };
    Ok(store.txn(txn).await?.succeeded)
}
