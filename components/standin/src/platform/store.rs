//! The stored keys, their history and their leases. Checks requests as the published service does.

use super::{
    lease::Leases,
    message::{
        Blob, Compare, DeleteRequest, DeleteResponse, Event, EventKind, Header, Int, KeyValue,
        PutRequest, PutResponse, RangeRequest, RangeResponse, Relation, RequestOp, ResponseOp,
        Target, TxnRequest, TxnResponse,
    },
};
use derive_more::{Display, Error};
use std::{
    collections::{BTreeMap, HashSet},
    time::Instant,
};

/// Maximum number of operations of a transaction, the published default.
const MAX_TXN_OPS: usize = 128;
/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The reason why a request was rejected.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum StoreError {
    /// A key is missing from the request.
    #[display("etcdserver: key is not provided")]
    EmptyKey,
    /// A value exceeds one mebibyte.
    #[display("etcdserver: request is too large")]
    TooLarge,
    /// A transaction has too many operations.
    #[display("etcdserver: too many operations in txn request")]
    TooManyOps,
    /// A transaction writes a key twice.
    #[display("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    /// The lease doesn't exist or has expired.
    #[display("etcdserver: requested lease not found")]
    LeaseNotFound,
    /// The identifier of the lease is in use.
    #[display("etcdserver: lease already exists")]
    LeaseExists,
    /// The revision has already been compacted.
    #[display("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
}

/// A range of keys from `start` up to `end`. A single key if `end` is empty; without an upper bound
/// if `end` is a single zero byte.
#[derive(Clone, Debug)]
pub(super) struct KeyRange {
    /// First key.
    pub(super) start: Blob,
    /// End of the range, exclusive.
    pub(super) end: Blob,
}

impl KeyRange {
    /// Whether `key` is in the range.
    pub(super) fn contains(&self, key: &Blob) -> bool {
        match self.end.0.is_empty() {
            true => *key == self.start,
            false => self.start <= *key && (self.end.0 == [0] || *key < self.end),
        }
    }
}

/// The keys with their history and leases.
#[derive(Debug)]
pub(super) struct Store {
    /// Incremented by each write and each transaction that writes.
    pub(super) revision: i64,
    /// The last compacted revision.
    pub(super) compacted: i64,
    records: BTreeMap<Blob, KeyValue>,
    log: Vec<Event>,
    /// Leases and the keys attached to them.
    pub(super) leases: Leases,
    lagging_copy: Option<LaggingCopy>,
}

/// An older copy of the store, from which the keys under a prefix are served.
#[derive(Debug)]
struct LaggingCopy {
    prefix: Vec<u8>,
    revision: i64,
    records: BTreeMap<Blob, KeyValue>,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            revision: 1,
            compacted: 0,
            records: BTreeMap::new(),
            log: Vec::new(),
            leases: Leases::default(),
            lagging_copy: None,
        }
    }
}

impl Store {
    /// Serves the keys under `prefix` as they are now until the next call; `None` serves current
    /// ones.
    pub(super) fn lag(&mut self, prefix: Option<&str>) {
        self.lagging_copy = prefix.map(|prefix| LaggingCopy {
            prefix: prefix.as_bytes().to_vec(),
            revision: self.revision,
            records: self.records.clone(),
        });
    }

    /// Whether reads of the range return an older copy.
    pub(super) fn is_lagging(&self, range: &KeyRange) -> bool {
        self.lagging_copy
            .as_ref()
            .is_some_and(|lagging_copy| range.start.0.starts_with(&lagging_copy.prefix))
    }

    /// Returns the header of a response at the present revision.
    pub(super) fn header(&self) -> Header {
        Header { revision: Int(self.revision) }
    }

    /// Returns the events of the range from revision `from` on.
    pub(super) fn events(&self, range: &KeyRange, from: i64) -> Vec<Event> {
        self.log
            .iter()
            .filter(|event| event.kv.mod_revision.0 >= from && range.contains(&event.kv.key))
            .cloned()
            .collect()
    }

    /// Discards events up to `revision`.
    pub(super) fn compact(&mut self, revision: i64) -> Result<(), StoreError> {
        if revision <= self.compacted {
            return Err(StoreError::Compacted);
        }
        self.compacted = revision;
        self.log.retain(|event| event.kv.mod_revision.0 > revision);
        Ok(())
    }

    /// Reads a key or a range of keys.
    pub(super) fn range(&self, request: RangeRequest) -> RangeResponse {
        let range = KeyRange { start: request.key, end: request.range_end };
        let (records, revision) = match &self.lagging_copy {
            Some(lagging_copy) if self.is_lagging(&range) => {
                (&lagging_copy.records, lagging_copy.revision)
            }
            _ => (&self.records, self.revision),
        };
        let mut kvs: Vec<_> =
            records.values().filter(|record| range.contains(&record.key)).cloned().collect();
        let count = kvs.len();
        if request.limit.0 > 0 {
            kvs.truncate(request.limit.0 as usize);
        }
        if request.keys_only {
            kvs.iter_mut().for_each(|record| record.value = Blob::default());
        }
        RangeResponse {
            header: Header { revision: Int(revision) },
            more: kvs.len() < count,
            kvs,
            count: Int(count as i64),
        }
    }

    /// Writes a key.
    pub(super) fn put(&mut self, request: PutRequest) -> Result<PutResponse, StoreError> {
        self.check_put(&request)?;
        self.revision += 1;
        self.write(request);
        Ok(PutResponse { header: self.header() })
    }

    /// Removes a key or a range of keys.
    pub(super) fn delete(&mut self, request: DeleteRequest) -> DeleteResponse {
        let deleted = self.remove(request, self.revision + 1);
        if deleted > 0 {
            self.revision += 1;
        }
        DeleteResponse { header: self.header(), deleted: Int(deleted) }
    }

    /// Evaluates the conditions and applies the selected operations atomically.
    pub(super) fn txn(&mut self, request: TxnRequest) -> Result<TxnResponse, StoreError> {
        self.check_ops(&request.success)?;
        self.check_ops(&request.failure)?;
        let succeeded = request.compare.iter().all(|compare| self.is_satisfied(compare));
        let ops = if succeeded { request.success } else { request.failure };
        let next_revision = self.revision + 1;
        let mut written = false;
        let mut responses = Vec::new();
        for op in ops {
            responses.push(match op {
                RequestOp::RequestRange(range) => ResponseOp::ResponseRange(self.range(range)),
                RequestOp::RequestPut(put) => {
                    written = true;
                    self.write_at(put, next_revision);
                    ResponseOp::ResponsePut(PutResponse { header: self.header() })
                }
                RequestOp::RequestDeleteRange(delete) => {
                    let deleted = self.remove(delete, next_revision);
                    written |= deleted > 0;
                    let header = self.header();
                    ResponseOp::ResponseDeleteRange(DeleteResponse {
                        header,
                        deleted: Int(deleted),
                    })
                }
            });
        }
        if written {
            self.revision = next_revision;
        }
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    /// Removes the leases that expired by `now`, and their keys.
    pub(super) fn expire(&mut self, now: Instant) {
        let keys = self.leases.expire(now);
        self.remove_all(keys);
    }

    /// Removes all leases and their keys.
    pub(super) fn expire_all(&mut self) {
        let keys = self.leases.clear();
        self.remove_all(keys);
    }

    /// Removes a lease and its keys.
    pub(super) fn revoke(&mut self, id: i64) -> Result<(), StoreError> {
        let keys = self.leases.revoke(id)?;
        self.remove_all(keys);
        Ok(())
    }

    fn remove_all(&mut self, keys: Vec<Blob>) {
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(DeleteRequest { key, range_end: Blob::default() }, self.revision);
        }
    }

    fn check_put(&self, request: &PutRequest) -> Result<(), StoreError> {
        match request {
            put if put.key.0.is_empty() => Err(StoreError::EmptyKey),
            put if put.value.0.len() > MAX_VALUE_BYTES => Err(StoreError::TooLarge),
            put if put.lease.0 != 0 && !self.leases.contains(put.lease.0) => {
                Err(StoreError::LeaseNotFound)
            }
            _ => Ok(()),
        }
    }

    fn check_ops(&self, ops: &[RequestOp]) -> Result<(), StoreError> {
        if ops.len() > MAX_TXN_OPS {
            return Err(StoreError::TooManyOps);
        }
        let mut keys = HashSet::new();
        for op in ops {
            if let RequestOp::RequestPut(put) = op {
                self.check_put(put)?;
                if !keys.insert(&put.key) {
                    return Err(StoreError::DuplicateKey);
                }
            }
        }
        Ok(())
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let record = self.records.get(&compare.key);
        let number = |of: fn(&KeyValue) -> Int| record.map(of).unwrap_or_default();
        let order = match compare.target {
            Target::Version => number(|record| record.version).cmp(&compare.version),
            Target::Create => number(|record| record.create_revision).cmp(&compare.create_revision),
            Target::Mod => number(|record| record.mod_revision).cmp(&compare.mod_revision),
            Target::Value => match record {
                Some(record) => record.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            Relation::Equal => order.is_eq(),
            Relation::Greater => order.is_gt(),
            Relation::Less => order.is_lt(),
            Relation::NotEqual => order.is_ne(),
        }
    }

    fn write(&mut self, put: PutRequest) {
        self.write_at(put, self.revision);
    }

    fn write_at(&mut self, put: PutRequest, revision: i64) {
        let old = self.records.get(&put.key);
        let record = KeyValue {
            create_revision: old.map_or(Int(revision), |old| old.create_revision),
            mod_revision: Int(revision),
            version: Int(old.map_or(0, |old| old.version.0) + 1),
            key: put.key.clone(),
            value: put.value,
            lease: put.lease,
        };
        self.leases.attach(&put.key, put.lease.0);
        self.log.push(Event { kind: EventKind::Put, kv: record.clone() });
        self.records.insert(put.key, record);
    }

    fn remove(&mut self, request: DeleteRequest, revision: i64) -> i64 {
        let range = KeyRange { start: request.key, end: request.range_end };
        let keys: Vec<_> = self.records.keys().filter(|key| range.contains(key)).cloned().collect();
        for key in &keys {
            self.records.remove(key);
            self.leases.attach(key, 0);
            let kv =
                KeyValue { key: key.clone(), mod_revision: Int(revision), ..KeyValue::default() };
            self.log.push(Event { kind: EventKind::Delete, kv });
        }
        keys.len() as i64
    }
}
