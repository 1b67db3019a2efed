//! Which entries there are, and which of them keeps an executor.

use crate::Executor;
use rustc_hash::FxHashSet;
use site::{
    id::{EntryId, Home, Incarnation},
    unit::Revision,
};

/// Bits of a fencing token below the store's revision.
const REVISION_SHIFT: u32 = 24;
/// Bits of a fencing token below the number of tries.
const TRY_SHIFT: u32 = 16;
/// The part of a fencing token that differs between entries.
const ENTRY_MASK: u64 = (1 << TRY_SHIFT) - 1;

/// The entries as this one sees them: those that the platform's store lists, and those that a
/// connection is up to, since a live entry may be cut off from the store.
#[derive(Debug)]
pub(crate) struct View {
    me: Home,
    listed: Vec<Home>,
    linked: FxHashSet<Home>,
    leaving: FxHashSet<Home>,
    revision: Revision,
    /// The store has listed this entry once. Before that, nobody counts on it, and it may not know
    /// of the others.
    joined: bool,
    /// Live entries that keep executors, sorted; what the above amounts to.
    keepers: Vec<Home>,
}

impl View {
    pub(crate) fn new(me: Home) -> Self {
        let mut view = Self {
            me,
            listed: Vec::new(),
            linked: FxHashSet::default(),
            leaving: FxHashSet::default(),
            revision: Revision(0),
            joined: false,
            keepers: Vec::new(),
        };
        view.refresh();
        view
    }

    /// Takes a list of the store in; returns whether the keepers changed.
    pub(crate) fn list(&mut self, revision: Revision, members: Vec<Home>) -> bool {
        self.revision = self.revision.max(revision);
        self.joined |= members.contains(&self.me);
        self.listed = members;
        self.refresh()
    }

    /// The store was seen at this revision, here or by a peer.
    pub(crate) fn see(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    pub(crate) fn connect(&mut self, peer: Home) -> bool {
        self.linked.insert(peer);
        self.refresh()
    }

    pub(crate) fn disconnect(&mut self, peer: Home) -> bool {
        self.linked.remove(&peer);
        self.leaving.remove(&peer);
        self.refresh()
    }

    /// Notes whether an entry is about to stop.
    pub(crate) fn set_leaving(&mut self, entry: Home, leaving: bool) -> bool {
        let changed = match leaving {
            true => self.leaving.insert(entry),
            false => self.leaving.remove(&entry),
        };
        changed && self.refresh()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.contains(&self.me)
    }

    pub(crate) fn linked(&self) -> impl Iterator<Item = Home> {
        self.linked.iter().copied()
    }

    /// The connected entries, the nearest first: those of the own data centre, then others in an
    /// order that differs from entry to entry.
    pub(crate) fn by_distance(&self) -> Vec<Home> {
        let distance = |home: &Home| {
            let far = home.data_centre != self.me.data_centre;
            (far, home.entry.0.wrapping_sub(self.me.entry.0))
        };
        let mut linked: Vec<_> = self.linked().collect();
        linked.sort_unstable_by_key(distance);
        linked
    }

    /// Whether all entries that the store lists are connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.listed.iter().all(|home| *home == self.me || self.linked.contains(home))
    }

    pub(crate) fn keepers(&self) -> &[Home] {
        &self.keepers
    }

    pub(crate) fn listed(&self) -> usize {
        self.listed.len()
    }

    /// Whether this entry is to keep an executor: one of the executor's data centre if there is
    /// any, chosen alike by all who see the same entries.
    pub(crate) fn keeps(&self, executor: &Executor) -> bool {
        if !self.joined {
            return false;
        }
        let near = |home: &&Home| home.data_centre == executor.data_centre;
        let stable = |home: &Home| Home { incarnation: Incarnation(0), ..*home };
        let mut homes: Vec<Home> = self.keepers.iter().filter(near).map(stable).collect();
        if homes.is_empty() {
            homes = self.keepers.iter().map(stable).collect();
        }
        membership::rendezvous::keeper(&homes, executor.id) == Some(stable(&self.me))
    }

    /// A fencing token for an executor that this entry begins to keep. Higher than that of any
    /// entry that took it over at an earlier revision of the store, and never the same as another
    /// entry's. `tries` counts the refusals so far.
    pub(crate) fn token(&self, tries: u8) -> u64 {
        self.revision.0 << REVISION_SHIFT
            | u64::from(tries) << TRY_SHIFT
            | self.me.entry.0 & ENTRY_MASK
    }

    /// A fencing token of this entry that is higher than another one.
    pub(crate) fn token_above(&self, token: u64) -> u64 {
        match self.token(0) {
            own if own > token => own,
            own => ((token >> TRY_SHIFT) + 1) << TRY_SHIFT | own & ENTRY_MASK,
        }
    }

    fn refresh(&mut self) -> bool {
        let mut keepers = vec![self.me];
        keepers.extend(self.linked.iter().filter(|home| home.entry != self.me.entry));
        for home in &self.listed {
            if !has(&keepers, home.entry) {
                keepers.push(*home);
            }
        }
        // Of two processes of one entry, the listed one is the newer unless it is unreachable.
        keepers.sort_by_key(|home| (home.entry, !self.listed.contains(home), *home));
        keepers.dedup_by_key(|home| home.entry);
        keepers.retain(|home| !self.leaving.contains(home));
        let changed = keepers != self.keepers;
        self.keepers = keepers;
        changed
    }
}

fn has(homes: &[Home], entry: EntryId) -> bool {
    homes.iter().any(|home| home.entry == entry)
}
