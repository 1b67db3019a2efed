//! A key-value store for tests that returns the same document for every key.

use async_trait::async_trait;
use bytes::Bytes;
use platform::{
    Error, Store,
    store::{
        Change, Changes, Consistency, Key, KeyValue, LeaseId, Listing, Op, Outcome, Put, Range,
        Revision, Seconds, Txn, Watch,
    },
};
use smol::channel::unbounded;

/// A store that returns the same document for every key and discards all writes.
#[derive(Debug)]
pub(super) struct StubStore {
    pub(super) document: Bytes,
    /// Revision of the store, of the document and of every write.
    pub(super) revision: Revision,
    /// Whether transactions succeed.
    pub(super) succeeds: bool,
    /// Suffix of the key in a listing, after the prefix that is listed.
    pub(super) suffix: String,
}

impl StubStore {
    fn value(&self, range: &Range) -> KeyValue {
        let key = match range {
            Range::Key(key) => key.clone(),
            Range::Prefix(prefix) => prefix.join(&self.suffix),
        };
        KeyValue {
            key,
            value: self.document.clone(),
            create_revision: self.revision,
            mod_revision: self.revision,
            lease: None,
        }
    }

    fn listing(&self, range: &Range) -> Listing {
        Listing { revision: self.revision, values: vec![self.value(range)] }
    }
}

#[async_trait]
impl Store for StubStore {
    async fn range(&self, range: Range, _: Consistency) -> Result<Listing, Error> {
        Ok(self.listing(&range))
    }

    async fn keys(&self, range: Range) -> Result<Listing, Error> {
        Ok(self.listing(&range))
    }

    async fn txn(&self, txn: Txn) -> Result<Outcome, Error> {
        let ops = if self.succeeds { &txn.success } else { &txn.failure };
        let read = |op: &Op| match op {
            Op::Get(range) => Some(self.listing(range)),
            Op::Put(_) | Op::Delete(_) => None,
        };
        let listings = ops.iter().filter_map(read).collect();
        Ok(Outcome { succeeded: self.succeeds, revision: self.revision, listings })
    }

    async fn put(&self, _: Put) -> Result<Revision, Error> {
        Ok(self.revision)
    }

    async fn delete(&self, _: Range) -> Result<u64, Error> {
        Ok(1)
    }

    async fn grant(&self, _: LeaseId, _: Seconds) -> Result<(), Error> {
        Ok(())
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<Option<Seconds>, Error> {
        Ok(None)
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        Ok(())
    }

    async fn watch(&self, range: Range, _: Revision) -> Result<Watch, Error> {
        let (sender, receiver) = unbounded();
        let value = self.value(&range);
        let key: Key = value.key.clone();
        let changes = vec![Change::Put(value), Change::Delete(key)];
        // Sending can't fail: the receiver is still held here.
        let _ = sender.try_send(Ok(Changes { revision: self.revision, changes }));
        Ok(Watch::new(receiver, smol::spawn(async {})))
    }
}
