//! Watches the manifest.

use super::{Error, Manifest, Stored, changes::Changes};
use crate::{
    Mirror, Store, path,
    store::{Key, Range},
};
use bytes::Bytes;
use site::unit::Revision;
use std::sync::Arc;

/// Watches the manifest. Reads all of it once, and again only after a gap in the changes.
pub struct Feed {
    store: Arc<dyn Store>,
    mirror: Mirror<Changes>,
    /// The manifest reported last.
    manifest: Option<Manifest>,
    /// Highest revision reported so far.
    highest: Revision,
}

impl Feed {
    /// Returns a feed of the manifests with a revision above `highest`.
    pub fn new(store: Arc<dyn Store>, highest: Revision) -> Feed {
        let mirror = Mirror::new(store.clone(), Range::Key(path::CHANGES.into()), decode);
        Feed { store, mirror, manifest: None, highest }
    }

    /// Waits for a manifest with a higher revision than all before. Cancel safe: no change is lost
    /// when the future is dropped.
    ///
    /// # Errors
    ///
    /// The same as [`Mirror::next`].
    pub async fn next(&mut self) -> Result<Manifest, crate::Error> {
        while self.changes().is_none() {
            self.mirror.next().await?;
        }
        let followed = self.changes().zip(self.manifest.as_ref());
        let manifest = match followed.and_then(|(changes, manifest)| changes.follow(manifest)) {
            Some(manifest) => manifest,
            None => self.read().await?,
        };
        self.highest = manifest.revision;
        self.manifest = Some(manifest.clone());
        Ok(manifest)
    }

    /// Returns the changes if they produce a revision that was not yet reported.
    fn changes(&self) -> Option<&Changes> {
        self.mirror.documents().values().next().filter(|found| found.revision > self.highest)
    }

    async fn read(&self) -> Result<Manifest, crate::Error> {
        match Stored::read(&*self.store).await {
            Ok(stored) => Ok(stored.manifest),
            Err(Error::Store(error)) => Err(error),
            Err(_) => Err(crate::Error::Malformed),
        }
    }
}

fn decode(_: &Key, value: &Bytes) -> Option<Changes> {
    serde_json::from_slice(value).ok()
}
