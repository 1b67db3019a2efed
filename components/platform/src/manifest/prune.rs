//! Removes file bodies that are no longer referenced.

use super::{Error, MAX_BATCH_OPS, Stored, body_key};
use crate::{
    Store, path,
    store::{Key, Op, Range, Txn},
};
use std::collections::BTreeSet;

/// Removes the bodies that the manifest does not reference. Bodies that were written after the
/// manifest stay, since a change that references them may be in progress. Returns how many were
/// removed.
///
/// # Errors
///
/// The store is unavailable. Some bodies may have been removed by then.
pub async fn prune(store: &dyn Store) -> Result<usize, Error> {
    let stored = Stored::read(store).await?;
    let referenced: BTreeSet<Key> = stored.manifest.digests().into_iter().map(body_key).collect();
    let listing = store.keys(Range::Prefix(path::FILES.into())).await?;
    let unreferenced: Vec<Key> = listing
        .values
        .into_iter()
        .filter(|value| value.mod_revision < stored.modified && !referenced.contains(&value.key))
        .map(|value| value.key)
        .collect();
    let mut removed = 0;
    for keys in unreferenced.chunks(MAX_BATCH_OPS) {
        let delete = |key: &Key| Op::Delete(Range::Key(key.clone()));
        let txn = Txn {
            compares: vec![stored.unchanged()],
            success: keys.iter().map(delete).collect(),
            failure: vec![],
        };
        if !store.txn(txn).await?.succeeded {
            break;
        }
        removed += keys.len();
    }
    Ok(removed)
}
