//! The items, history and leases of the store.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The stored value of a key.
#[derive(Clone, Debug)]
pub(super) struct Item {
    /// The value, in base64.
    pub(super) value: String,
    /// Revision of the last write.
    pub(super) revision: u64,
    /// Revision that created the key.
    pub(super) created: u64,
    /// The lease that the key is attached to; 0 if none.
    pub(super) lease: u64,
}

/// A change of one key; a removal if it has no item.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) item: Option<Item>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// The reason why a change was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ChangeError {
    /// A key isn't at its expected revision.
    ConditionFailed,
    /// The lease doesn't exist or has expired.
    LeaseNotFound,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) items: BTreeMap<String, Item>,
    pub(super) revision: u64,
    history: Vec<Change>,
    /// Changes up to this revision have been discarded.
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            revision: 1,
            history: Vec::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl State {
    pub(super) fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    /// Applies all changes if every condition holds. Returns the new revision.
    pub(super) fn change(
        &mut self,
        expected: &[(String, u64)],
        puts: Vec<(String, String, u64)>,
        deletes: &[String],
    ) -> Result<u64, ChangeError> {
        if expected.iter().any(|(key, revision)| self.revision_of(key) != *revision) {
            return Err(ChangeError::ConditionFailed);
        }
        if puts.iter().any(|(_, _, lease)| *lease != 0 && !self.leases.contains_key(lease)) {
            return Err(ChangeError::LeaseNotFound);
        }
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in puts {
            let created = self.items.get(&key).map_or(revision, |item| item.created);
            let item = Item { value, revision, created, lease };
            self.history.push(Change { key: key.clone(), revision, item: Some(item.clone()) });
            self.items.insert(key, item);
        }
        for key in deletes {
            self.remove(key);
        }
        Ok(revision)
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let change = Change { key: key.to_owned(), revision: self.revision, item: None };
            self.history.push(change);
        }
    }

    /// Returns the changes of keys under `prefix` after revision `after`; `None` if some of them have
    /// been discarded.
    pub(super) fn since(&self, prefix: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.compacted {
            return None;
        }
        let wanted = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
        Some(self.history.iter().filter(wanted).cloned().collect())
    }

    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, Lease { ttl, expires_at: Instant::now() + ttl });
        lease
    }

    pub(super) fn keep_alive(&mut self, lease: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.expires_at = Instant::now() + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys. Returns whether the lease existed.
    pub(super) fn revoke(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
        true
    }

    /// Removes expired leases and their keys. Returns whether there were any.
    pub(super) fn expire(&mut self) -> bool {
        let now = Instant::now();
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|lease| {
            self.revoke(*lease);
        });
        !expired.is_empty()
    }
}
