//! Reads the settings.

use super::{Error, File, MAX_ATTEMPTS, Manifest, Stored, body_key, split};
use crate::{
    Store,
    store::{Op, Range, Txn},
};
use bytes::Bytes;
use compact_str::CompactString;
use settings::{Digest, Files, digest};
use site::unit::Revision;
use std::collections::BTreeMap;

/// Bodies by digest.
type Bodies = BTreeMap<Digest, Bytes>;

/// The accepted settings with their files.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The manifest.
    pub manifest: Manifest,
    /// The files that the manifest references.
    pub files: Files,
}

/// Reads the accepted settings. Bodies of `known` files are not read again. Returns `None` before
/// the first change was accepted.
///
/// # Errors
///
/// The store is unavailable, or a body is missing.
pub async fn fetch(store: &dyn Store, known: &Files) -> Result<Option<Settings>, Error> {
    let mut outcome = Err(Error::Malformed);
    for _ in 0..MAX_ATTEMPTS {
        let manifest = Stored::read(store).await?.manifest;
        if manifest.revision == Revision::default() {
            return Ok(None);
        }
        match bodies(store, &manifest, known).await {
            // The manifest may be outdated and the body pruned: read it again.
            Err(error @ Error::Missing { .. }) => outcome = Err(error),
            result => return result.map(|files| Some(Settings { manifest, files })),
        }
    }
    outcome
}

/// Reads the files that a manifest references, except for `known` ones, and checks their digests.
///
/// # Errors
///
/// The store is unavailable, or a body is missing.
pub async fn bodies(store: &dyn Store, manifest: &Manifest, known: &Files) -> Result<Files, Error> {
    let mut bodies: Bodies = known.values().map(|body| (digest(body), body.clone())).collect();
    let mut missing: BTreeMap<Digest, File> =
        manifest.files.values().map(|file| (file.digest, *file)).collect();
    missing.retain(|digest, _| !bodies.contains_key(digest));
    for part in split(missing.into_values().collect(), |file| file.size as usize) {
        read(store, &part, &mut bodies).await?;
    }
    let body = |(name, file): (&CompactString, &File)| match bodies.get(&file.digest) {
        Some(body) => Ok((name.clone(), body.clone())),
        None => Err(Error::Missing { digest: file.digest }),
    };
    manifest.files.iter().map(body).collect()
}

async fn read(store: &dyn Store, files: &[File], bodies: &mut Bodies) -> Result<(), Error> {
    let get = |file: &File| Op::Get(Range::Key(body_key(file.digest)));
    let txn = Txn { success: files.iter().map(get).collect(), ..Txn::default() };
    let outcome = store.txn(txn).await?;
    for value in outcome.listings.into_iter().flat_map(|listing| listing.values) {
        bodies.insert(digest(&value.value), value.value);
    }
    Ok(())
}
