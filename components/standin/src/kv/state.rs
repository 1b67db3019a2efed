//! What the store holds.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// An item.
#[derive(Clone, Debug)]
pub(super) struct Item {
    /// As base64.
    pub(super) value: String,
    pub(super) revision: u64,
    pub(super) created: u64,
    pub(super) lease: u64,
}

/// A change; without an item it is a removal.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) item: Option<Item>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Why a change was not made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refused {
    /// A condition does not hold.
    Condition,
    /// There is no such lease.
    Lease,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) items: BTreeMap<String, Item>,
    pub(super) revision: u64,
    history: Vec<Change>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            revision: 1,
            history: Vec::new(),
            forgotten: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl State {
    pub(super) fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    /// Makes changes if all conditions hold; returns the revision.
    pub(super) fn change(
        &mut self,
        expected: &[(String, u64)],
        puts: Vec<(String, String, u64)>,
        deletes: &[String],
    ) -> Result<u64, Refused> {
        if expected.iter().any(|(key, revision)| self.revision_of(key) != *revision) {
            return Err(Refused::Condition);
        }
        if puts.iter().any(|(_, _, lease)| *lease != 0 && !self.leases.contains_key(lease)) {
            return Err(Refused::Lease);
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

    /// Changes after a revision; `None` when they are forgotten.
    pub(super) fn since(&self, prefix: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.forgotten {
            return None;
        }
        let wanted = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
        Some(self.history.iter().filter(wanted).cloned().collect())
    }

    pub(super) fn forget(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, Lease { ttl, ends: Instant::now() + ttl });
        lease
    }

    pub(super) fn keep(&mut self, lease: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.ends = Instant::now() + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys; false when there is none.
    pub(super) fn end(&mut self, lease: u64) -> bool {
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

    /// Ends leases whose time is over; returns whether there were any.
    pub(super) fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<_> =
            self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        over.iter().for_each(|lease| {
            self.end(*lease);
        });
        !over.is_empty()
    }
}
