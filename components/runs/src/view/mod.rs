//! Which entries there are, and which of them keeps an executor.

mod absent;

use absent::Absent;

use crate::Executor;
use membership::{keepers, mesh, rendezvous};
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation},
    unit::{Cores, Revision, Span, Time, Weight},
};

/// Bits of a fencing token below the store's revision.
const REVISION_SHIFT: u32 = 24;
/// Bits of a fencing token below the number of tries.
const TRY_SHIFT: u32 = 16;
/// The part of a fencing token that differs between entries.
const ENTRY_MASK: u64 = (1 << TRY_SHIFT) - 1;

/// Entries whose processor is remembered though neither the store nor a connection tells of them: they
/// may only be cut off.
const MOST_MISSING: usize = 1_000;

/// The entries as this one sees them: those that the platform's store lists, and those that a
/// connection is up to, since a live entry may be cut off from the store.
#[derive(Debug)]
pub(crate) struct View {
    me: Home,
    listed: Vec<Home>,
    /// Those of the listed entries that this one is to be connected to.
    partners: Vec<Home>,
    linked: FxHashSet<Home>,
    leaving: FxHashSet<Home>,
    /// Connected entries that keep no executor.
    idle: FxHashSet<Home>,
    revision: Revision,
    /// The store has listed this entry once. Before that, nobody counts on it, and it may not know
    /// of the others.
    joined: bool,
    /// The processor that each entry may use, in order to share executors out by it.
    processors: FxHashMap<EntryId, Cores>,
    /// What an entry needs of it for other work.
    reserve: Cores,
    /// Live entries that keep executors, sorted; what the above amounts to.
    keepers: Vec<Home>,
    /// Among which of them executors are shared out.
    shares: Shares,
    /// This entry is one of them.
    has_share: bool,
    absent: Absent,
    /// The connected entries, the nearest first.
    by_distance: Vec<Home>,
}

/// Among which entries executors are shared out. Entries here have no incarnation, so that a
/// restart moves nothing.
#[derive(Debug, Default)]
struct Shares {
    /// The keepers of the own data centre.
    near: Vec<(Home, Weight)>,
    /// All keepers, for executors of data centres without any.
    all: Vec<(Home, Weight)>,
    /// Data centres with keepers.
    staffed: FxHashSet<DataCentreId>,
}

impl View {
    pub(crate) fn new(me: Home, reserve: Cores) -> Self {
        let mut view = Self {
            me,
            listed: Vec::new(),
            partners: Vec::new(),
            linked: FxHashSet::default(),
            leaving: FxHashSet::default(),
            idle: FxHashSet::default(),
            revision: Revision(0),
            joined: false,
            processors: FxHashMap::default(),
            reserve,
            keepers: Vec::new(),
            shares: Shares::default(),
            has_share: false,
            absent: Absent::default(),
            by_distance: Vec::new(),
        };
        view.refresh();
        view
    }

    /// Takes a list of the store in; returns whether the keepers changed.
    pub(crate) fn list(&mut self, revision: Revision, members: Vec<Home>) -> bool {
        self.revision = self.revision.max(revision);
        self.joined |= members.contains(&self.me);
        if members != self.listed {
            self.partners = mesh::weighted_peers(self.me, &self.weigh(&members));
            self.listed = members;
        }
        self.refresh()
    }

    /// Notes what entries may use; returns whether that changed anything. Entries that are no longer
    /// listed may still be connected.
    pub(crate) fn set_processors(&mut self, processors: Vec<(EntryId, Cores)>) -> bool {
        let present = processors.len() + self.linked.len();
        let mut changed = false;
        for (entry, cores) in processors {
            changed |= self.processors.insert(entry, cores) != Some(cores);
        }
        if self.processors.len() > present + MOST_MISSING {
            self.forget_processors();
        }
        if changed {
            self.share_out();
        }
        changed
    }

    /// Forgets the processors of entries that are neither listed nor connected.
    fn forget_processors(&mut self) {
        let present: FxHashSet<EntryId> =
            self.listed.iter().chain(&self.linked).map(|home| home.entry).collect();
        self.processors.retain(|entry, _| present.contains(entry));
    }

    /// The store was seen at this revision, here or by a peer.
    pub(crate) fn see(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    pub(crate) fn connect(&mut self, peer: Home) -> bool {
        self.linked.insert(peer);
        self.sort_linked();
        self.refresh()
    }

    pub(crate) fn disconnect(&mut self, peer: Home) -> bool {
        self.linked.remove(&peer);
        self.leaving.remove(&peer);
        self.idle.remove(&peer);
        self.sort_linked();
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

    /// Notes whether a connected entry keeps no executor.
    pub(crate) fn set_idle(&mut self, entry: Home, idle: bool) {
        match idle {
            true => self.idle.insert(entry),
            false => self.idle.remove(&entry),
        };
    }

    /// The connected entries that may have executors to hand over.
    pub(crate) fn claimable(&self) -> impl Iterator<Item = Home> {
        self.linked().filter(|home| !self.idle.contains(home))
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
    pub(crate) fn by_distance(&self) -> &[Home] {
        &self.by_distance
    }

    fn sort_linked(&mut self) {
        let me = self.me;
        let distance = |home: &Home| {
            let far = home.data_centre != me.data_centre;
            (far, home.entry.0.wrapping_sub(me.entry.0))
        };
        let mut linked: Vec<_> = self.linked().collect();
        linked.sort_unstable_by_key(distance);
        self.by_distance = linked;
    }

    /// Whether all entries that the store lists are connected, as far as they are to be.
    pub(crate) fn is_connected(&self) -> bool {
        self.partners.iter().all(|home| self.linked.contains(home))
    }

    pub(crate) fn keepers(&self) -> &[Home] {
        &self.keepers
    }

    /// Whether this entry is to keep executors, if there are any to keep.
    pub(crate) fn is_keeper(&self) -> bool {
        self.joined && self.has_share
    }

    /// Whether it is so for want of larger entries, which may only be starting.
    pub(crate) fn is_stopgap(&self) -> bool {
        let own = self.processors.get(&self.me.entry).copied().unwrap_or_default();
        own > Cores(0) && own <= self.reserve
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
        let Shares { near, all, staffed } = &self.shares;
        let homes = match executor.data_centre {
            own if own == self.me.data_centre && staffed.contains(&own) => near,
            other if staffed.contains(&other) || self.absent.contains(other) => return false,
            _ => all,
        };
        rendezvous::weighted_keeper(homes, executor.id) == Some(stable(&self.me))
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
        let mut known: FxHashSet<EntryId> = keepers.iter().map(|home| home.entry).collect();
        keepers.extend(self.listed.iter().filter(|home| known.insert(home.entry)));
        // Of two processes of one entry, the listed one is the newer unless it is unreachable.
        let listed: FxHashSet<Home> = self.listed.iter().copied().collect();
        keepers.sort_unstable_by_key(|home| (home.entry, !listed.contains(home), *home));
        keepers.dedup_by_key(|home| home.entry);
        keepers.retain(|home| !self.leaving.contains(home));
        let changed = keepers != self.keepers;
        if changed {
            self.keepers = keepers;
            self.share_out();
        }
        changed
    }

    fn share_out(&mut self) {
        let weighed = self.weigh(&self.keepers);
        let weighed: Vec<_> =
            weighed.into_iter().map(|(home, weight)| (stable(&home), weight)).collect();
        let me = stable(&self.me);
        self.has_share = weighed.iter().any(|(home, weight)| *home == me && weight.0 > 0);
        let shares = Shares::new(self.me.data_centre, weighed);
        let before = std::mem::replace(&mut self.shares, shares);
        before.staffed.difference(&self.shares.staffed).for_each(|gone| self.absent.insert(*gone));
        self.shares.staffed.iter().for_each(|there| self.absent.remove(*there));
    }

    /// Executors of these data centres have renewed their registrations.
    pub(crate) fn hear_executors(&mut self, now: Time, data_centres: &[DataCentreId]) {
        data_centres.iter().for_each(|data_centre| self.absent.hear(now, *data_centre));
    }

    /// Gives up on data centres whose entries stay away while their executors are there; returns whether
    /// that changed what is to be kept.
    pub(crate) fn give_up_absent(&mut self, now: Time, patience: Span) -> bool {
        self.absent.give_up(now, patience)
    }

    fn weigh(&self, homes: &[Home]) -> Vec<(Home, Weight)> {
        let cores = |home: &Home| self.processors.get(&home.entry).copied().unwrap_or_default();
        let homes: Vec<_> = homes.iter().map(|home| (*home, cores(home))).collect();
        keepers::weights(&homes, self.reserve)
    }
}

impl Shares {
    fn new(own: DataCentreId, all: Vec<(Home, Weight)>) -> Self {
        let near = all.iter().filter(|(home, _)| home.data_centre == own).copied().collect();
        let staffed = all.iter().map(|(home, _)| home.data_centre).collect();
        Self { near, all, staffed }
    }
}

/// An entry without its incarnation.
fn stable(home: &Home) -> Home {
    Home { incarnation: Incarnation(0), ..*home }
}
