//! Leases and the keys attached to them.

use super::{message::Blob, store::StoreError};
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Base of the lease identifiers that the store chooses. They start one above it.
const LEASE_ID_BASE: i64 = 7_000_000_000;

#[derive(Debug)]
struct Lease {
    ttl: i64,
    deadline: Instant,
    keys: BTreeSet<Blob>,
}

/// All leases. A key is attached to at most one.
#[derive(Debug, Default)]
pub(super) struct Leases {
    leases: HashMap<i64, Lease>,
    granted: i64,
}

impl Leases {
    /// Whether the lease exists.
    pub(super) fn contains(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Grants a lease of `ttl` seconds with the identifier `id`; chooses one if `id` is 0.
    pub(super) fn grant(&mut self, id: i64, ttl: i64, now: Instant) -> Result<i64, StoreError> {
        self.granted += 1;
        let id = if id == 0 { LEASE_ID_BASE + self.granted } else { id };
        if self.contains(id) {
            return Err(StoreError::LeaseExists);
        }
        let lease = Lease { ttl, deadline: deadline(now, ttl), keys: BTreeSet::new() };
        self.leases.insert(id, lease);
        Ok(id)
    }

    /// Renews a lease. Returns its time to live in seconds; 0 if it doesn't exist.
    pub(super) fn keep_alive(&mut self, id: i64, now: Instant) -> i64 {
        match self.leases.get_mut(&id) {
            None => 0,
            Some(lease) => {
                lease.deadline = deadline(now, lease.ttl);
                lease.ttl
            }
        }
    }

    /// Attaches a key to a lease and detaches it from its former one; only detaches it if `id` is 0.
    pub(super) fn attach(&mut self, key: &Blob, id: i64) {
        for lease in self.leases.values_mut() {
            lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.insert(key.clone());
        }
    }

    /// Removes a lease. Returns its keys.
    pub(super) fn revoke(&mut self, id: i64) -> Result<Vec<Blob>, StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        Ok(lease.keys.into_iter().collect())
    }

    /// Removes the leases that expired by `now`. Returns their keys.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<Blob> {
        let expired: Vec<_> = self.leases.extract_if(|_, lease| lease.deadline <= now).collect();
        expired.into_iter().flat_map(|(_, lease)| lease.keys).collect()
    }

    /// Removes all leases. Returns their keys.
    pub(super) fn clear(&mut self) -> Vec<Blob> {
        self.leases.drain().flat_map(|(_, lease)| lease.keys).collect()
    }
}

fn deadline(now: Instant, ttl: i64) -> Instant {
    now + Duration::from_secs(ttl.max(0) as u64)
}
