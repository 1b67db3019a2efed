//! Registrations of entries. A registration ends with its lease. That does not mean that the entry
//! has failed: while the store is unavailable, leases expire and entries keep running.

use crate::{
    Code, Mirror, Store, path,
    store::{Compare, Consistency, Key, KeyValue, LeaseId, Op, Put, Range, Seconds, Txn},
    text,
};
use bytes::Bytes;
use compact_str::CompactString;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use settings::Digest;
use site::id::{EntryId, Home};
use std::{net::SocketAddr, sync::Arc};

/// Maximum number of attempts of one change.
const MAX_ATTEMPTS: usize = 3;

/// An entry's registration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The process of the entry.
    #[serde(with = "text")]
    pub home: Home,
    /// Name of its data centre.
    pub data_centre: CompactString,
    /// Address where it accepts HTTP connections of callers.
    pub http: SocketAddr,
    /// Address where it accepts QUIC connections of other entries.
    pub quic: SocketAddr,
    /// SHA-256 digest of its certificate.
    #[serde(with = "text")]
    pub certificate: Digest,
}

/// Why an entry was not registered.
#[derive(Clone, Copy, Debug, Display, Error, Eq, From, PartialEq)]
pub enum Error {
    /// The store failed.
    #[from]
    Store(crate::Error),
    /// Another process of this entry has registered since.
    #[display("another process of this entry has registered: {home}")]
    Superseded {
        /// The process that is registered.
        home: Home,
    },
}

/// A registration that was written, with its lease.
#[derive(Clone, Debug)]
pub struct Registration {
    entry: Entry,
    lease: LeaseId,
    ttl: Seconds,
}

/// How to treat an existing registration of another process of the same entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OnConflict {
    /// Replace it.
    Replace,
    /// Keep it and return an error.
    Keep,
}

/// Registers a new process of an entry and replaces the registration of an earlier process.
///
/// # Errors
///
/// The store is unavailable. A registration that was written nevertheless ends with its lease.
pub async fn register(
    store: &dyn Store,
    entry: Entry,
    ttl: Seconds,
) -> Result<Registration, Error> {
    let lease = grant(store, ttl).await?;
    write(store, &entry, lease, OnConflict::Replace).await?;
    Ok(Registration { entry, lease, ttl })
}

impl Registration {
    /// Returns the registered entry.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Renews the lease, or registers again if it has expired. Must be called several times within
    /// the lease's time to live.
    ///
    /// # Errors
    ///
    /// The store is unavailable, or another process of this entry has registered.
    pub async fn renew(&mut self, store: &dyn Store) -> Result<(), Error> {
        if store.keep_alive(self.lease).await?.is_some() {
            return Ok(());
        }
        let lease = grant(store, self.ttl).await?;
        write(store, &self.entry, lease, OnConflict::Keep).await?;
        self.lease = lease;
        Ok(())
    }

    /// Revokes the registration.
    ///
    /// # Errors
    ///
    /// The store is unavailable; the lease then expires.
    pub async fn leave(&self, store: &dyn Store) -> Result<(), crate::Error> {
        match store.revoke(self.lease).await {
            Err(crate::Error::Refused { code: Code::NotFound }) => Ok(()),
            result => result,
        }
    }
}

/// Returns the registered entries.
///
/// # Errors
///
/// The store is unavailable.
pub async fn list(store: &dyn Store) -> Result<Vec<Entry>, crate::Error> {
    let listing = store.range(range(), Consistency::Linearizable).await?;
    Ok(listing.values.iter().filter_map(|value| decode(&value.key, &value.value)).collect())
}

/// Returns a mirror of the registered entries.
pub fn watch(store: Arc<dyn Store>) -> Mirror<Entry> {
    Mirror::new(store, range(), decode)
}

/// Returns the store key of an entry's registration.
pub fn key(entry: EntryId) -> Key {
    Key::from(path::ENTRIES).join(format_args!("{:016x}", entry.0))
}

fn range() -> Range {
    Range::Prefix(path::ENTRIES.into())
}

fn decode(key: &Key, value: &Bytes) -> Option<Entry> {
    let entry: Entry = serde_json::from_slice(value).ok()?;
    (self::key(entry.home.entry) == *key).then_some(entry)
}

fn document(entry: &Entry, lease: LeaseId) -> Result<Put, crate::Error> {
    let value = serde_json::to_vec(entry).map_err(|_| crate::Error::Malformed)?;
    Ok(Put { key: key(entry.home.entry), value: value.into(), lease: Some(lease) })
}

async fn stored(store: &dyn Store, key: &Key) -> Result<Option<(Entry, KeyValue)>, crate::Error> {
    let listing = store.range(Range::Key(key.clone()), Consistency::Linearizable).await?;
    let Some(value) = listing.values.into_iter().next() else { return Ok(None) };
    let entry = decode(key, &value.value).ok_or(crate::Error::Malformed)?;
    Ok(Some((entry, value)))
}

/// Writes a registration by compare-and-swap, so that a delayed write can't overwrite a later one.
async fn write(
    store: &dyn Store,
    entry: &Entry,
    lease: LeaseId,
    on_conflict: OnConflict,
) -> Result<(), Error> {
    let put = document(entry, lease)?;
    let mut outcome = Err(crate::Error::Unknown);
    for _ in 0..MAX_ATTEMPTS {
        let compare = match stored(store, &put.key).await? {
            None => Compare::absent(put.key.clone()),
            Some((_, value)) if value.lease == Some(lease) => return Ok(()),
            Some((found, _)) if found.home != entry.home && on_conflict == OnConflict::Keep => {
                return Err(Error::Superseded { home: found.home });
            }
            Some((_, value)) => Compare::unchanged(put.key.clone(), value.mod_revision),
        };
        let txn =
            Txn { compares: vec![compare], success: vec![Op::Put(put.clone())], failure: vec![] };
        match store.txn(txn).await {
            Ok(written) if written.succeeded => return Ok(()),
            Ok(_) => {}
            Err(error) if error.is_indeterminate() => outcome = Err(error),
            Err(error) => return Err(error.into()),
        }
    }
    Ok(outcome?)
}

/// Creates a lease. After a lost response the same lease is requested again.
async fn grant(store: &dyn Store, ttl: Seconds) -> Result<LeaseId, crate::Error> {
    let id = LeaseId::random();
    let mut result = store.grant(id, ttl).await;
    for _ in 1..MAX_ATTEMPTS {
        match result {
            Err(error) if error.is_indeterminate() => result = regrant(store, id, ttl).await,
            _ => break,
        }
    }
    result.map(|()| id)
}

/// Creates a lease that may already exist.
async fn regrant(store: &dyn Store, id: LeaseId, ttl: Seconds) -> Result<(), crate::Error> {
    match store.grant(id, ttl).await {
        Err(crate::Error::Refused { code: Code::FailedPrecondition | Code::AlreadyExists }) => {
            Ok(())
        }
        result => result,
    }
}
