//! A local copy of the documents in a range, kept up to date by a watch.

use crate::{
    Code, Error, Store,
    store::{Change, Changes, Consistency, Key, KeyValue, Range, Revision, Watch},
};
use bytes::Bytes;
use std::{collections::BTreeMap, sync::Arc};

/// Decodes a document; returns `None` if it is malformed.
pub type Decode<T> = fn(&Key, &Bytes) -> Option<T>;

/// A local copy of the documents in a range, kept up to date by a watch. Malformed documents are
/// left out.
pub struct Mirror<T> {
    store: Arc<dyn Store>,
    range: Range,
    decode: Decode<T>,
    documents: BTreeMap<Key, T>,
    /// Revision up to which all changes are in `documents`; `None` if they must be listed (again).
    position: Option<Revision>,
    watch: Option<Watch>,
}

impl<T> Mirror<T> {
    /// Returns a mirror of `range`, which is empty before the first call of [`Mirror::next`].
    pub fn new(store: Arc<dyn Store>, range: Range, decode: Decode<T>) -> Mirror<T> {
        let documents = BTreeMap::new();
        Mirror { store, range, decode, documents, position: None, watch: None }
    }

    /// Returns the documents as of the last update.
    pub fn documents(&self) -> &BTreeMap<Key, T> {
        &self.documents
    }

    /// Waits for a change and returns all documents after it. The first call lists them. No change
    /// is lost when the future is dropped or after an error.
    ///
    /// # Errors
    ///
    /// The store is unavailable, or the watch has ended. The copy is unchanged, and the next call
    /// continues from there. The caller is responsible for a pause between calls.
    pub async fn next(&mut self) -> Result<&BTreeMap<Key, T>, Error> {
        let Some(position) = self.position else {
            self.list().await?;
            return Ok(&self.documents);
        };
        let watch = match self.watch.take() {
            Some(watch) => watch,
            None => self.store.watch(self.range.clone(), position.next()).await?,
        };
        let watch = self.watch.insert(watch);
        match watch.next().await {
            Ok(changes) => {
                self.apply(changes);
                Ok(&self.documents)
            }
            Err(error) => {
                self.watch = None;
                if error == (Error::Refused { code: Code::OutOfRange }) {
                    self.position = None;
                }
                Err(error)
            }
        }
    }

    async fn list(&mut self) -> Result<(), Error> {
        let listing = self.store.range(self.range.clone(), Consistency::Linearizable).await?;
        self.documents.clear();
        listing.values.into_iter().for_each(|value| self.put(value));
        self.position = Some(listing.revision);
        Ok(())
    }

    fn apply(&mut self, changes: Changes) {
        for change in changes.changes {
            match change {
                Change::Put(value) => self.put(value),
                Change::Delete(key) => drop(self.documents.remove(&key)),
            }
        }
        self.position = Some(changes.revision);
    }

    fn put(&mut self, value: KeyValue) {
        match (self.decode)(&value.key, &value.value) {
            Some(document) => {
                self.documents.insert(value.key, document);
            }
            None => {
                tracing::warn!(key = %value.key, "a document in the store is malformed");
                self.documents.remove(&value.key);
            }
        }
    }
}
