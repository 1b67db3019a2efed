//! In-memory fake of the platform's store, with the operations that key claims and changes of
//! settings use.

use async_trait::async_trait;
use parking_lot::Mutex;
use platform::{
    Error, Store,
    store::{
        Consistency, Key, KeyValue, LeaseId, Listing, Op, Outcome, Put, Range, Revision, Seconds,
        Txn, Watch,
    },
};
use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
};

/// Store for one client at a time, so that every comparison of a transaction holds.
#[derive(Debug, Default)]
pub struct MemoryStore {
    values: Mutex<BTreeMap<Key, KeyValue>>,
    calls: AtomicU64,
}

impl MemoryStore {
    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the total length of all values in bytes.
    pub fn bytes(&self) -> usize {
        self.values.lock().values().map(|value| value.value.len()).sum()
    }

    /// Returns the length of a value in bytes; 0 if the key is absent.
    pub fn size(&self, key: &str) -> usize {
        self.values.lock().get(&Key::from(key)).map_or(0, |value| value.value.len())
    }

    fn next_revision(&self) -> Revision {
        Revision(1 + self.calls.fetch_add(1, Ordering::Relaxed))
    }

    fn write(&self, put: &Put, revision: Revision) {
        let stored = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: revision,
            mod_revision: revision,
            lease: put.lease,
        };
        self.values.lock().insert(put.key.clone(), stored);
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn range(&self, range: Range, _: Consistency) -> Result<Listing, Error> {
        let revision = self.next_revision();
        let within = |key: &Key| match &range {
            Range::Key(wanted) => key == wanted,
            Range::Prefix(prefix) => key.0.starts_with(prefix.0.as_str()),
        };
        let values = self.values.lock();
        let values = values.iter().filter(|(key, _)| within(key));
        let values = values.map(|(_, value)| value.clone()).collect();
        Ok(Listing { revision, values })
    }

    async fn txn(&self, txn: Txn) -> Result<Outcome, Error> {
        let revision = self.next_revision();
        for op in &txn.success {
            match op {
                Op::Put(put) => self.write(put, revision),
                Op::Get(_) | Op::Delete(_) => return Err(Error::Unknown),
            }
        }
        Ok(Outcome { succeeded: true, revision, listings: vec![] })
    }

    async fn keys(&self, _: Range) -> Result<Listing, Error> {
        Err(Error::Unknown)
    }

    async fn put(&self, _: Put) -> Result<Revision, Error> {
        Err(Error::Unknown)
    }

    async fn delete(&self, _: Range) -> Result<u64, Error> {
        Err(Error::Unknown)
    }

    async fn grant(&self, _: LeaseId, _: Seconds) -> Result<(), Error> {
        Err(Error::Unknown)
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<Option<Seconds>, Error> {
        Err(Error::Unknown)
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), Error> {
        Err(Error::Unknown)
    }

    async fn watch(&self, _: Range, _: Revision) -> Result<Watch, Error> {
        Err(Error::Unknown)
    }
}
