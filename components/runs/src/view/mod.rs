//! The entries that this one knows, and which of them keeps an executor.

mod absent;
mod former;
mod lost;

pub(crate) use former::Former;

use absent::Absent;
use lost::{Heard, Known, Lost};

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
/// Low bits of a fencing token, which differ between entries.
const ENTRY_MASK: u64 = (1 << TRY_SHIFT) - 1;

/// Number of entries that are neither listed nor connected and whose processor is kept: they may
/// only be cut off.
const MAX_ABSENT_PROCESSORS: usize = 1_000;

/// The entries as this one sees them: those that the platform's store lists and those with a
/// connection, since a live entry may be cut off from the store.
#[derive(Debug)]
pub(crate) struct View {
    me: Home,
    listed: Vec<Home>,
    /// Listed entries that this one has to be connected to.
    partners: Vec<Home>,
    connected: FxHashSet<Home>,
    leaving: FxHashSet<Home>,
    /// Connected entries that keep no executor.
    idle: FxHashSet<Home>,
    revision: Revision,
    /// Whether the store has listed this entry at least once. Before that, other entries don't rely
    /// on it, and it may not know all of them.
    joined: bool,
    /// Processor available to each entry, which determines its share of executors.
    processors: FxHashMap<EntryId, Cores>,
    /// Processor that an entry needs for other work.
    reserve: Cores,
    /// Live entries that may keep executors, sorted. Derived from the fields above.
    keepers: Vec<Home>,
    /// Entries that executors are distributed among.
    shares: Shares,
    /// Whether this entry is one of them.
    has_share: bool,
    absent: Absent,
    lost: Lost,
    /// The connected entries, the nearest first.
    by_distance: Vec<Home>,
}

/// The entries that executors are distributed among. Their incarnations are cleared, so that a
/// restart moves no executor.
#[derive(Debug, Default)]
struct Shares {
    /// Keepers in this entry's data centre.
    local: Vec<(Home, Weight)>,
    /// All keepers, for executors of data centres without any.
    all: Vec<(Home, Weight)>,
    /// Data centres with at least one keeper.
    with_keepers: FxHashSet<DataCentreId>,
}

impl View {
    pub(crate) fn new(me: Home, reserve: Cores) -> Self {
        let mut view = Self {
            me,
            listed: Vec::new(),
            partners: Vec::new(),
            connected: FxHashSet::default(),
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
            lost: Lost::default(),
            by_distance: Vec::new(),
        };
        view.refresh();
        view
    }

    /// Applies a list from the store; returns whether the keepers changed.
    pub(crate) fn set_listed(&mut self, revision: Revision, members: Vec<Home>) -> bool {
        self.revision = self.revision.max(revision);
        self.joined |= members.contains(&self.me);
        if members != self.listed {
            self.partners = mesh::weighted_peers(self.me, &self.weigh(&members));
            self.listed = members;
        }
        self.refresh()
    }

    /// Records the processor of entries; returns whether that changed anything. Entries that are no
    /// longer listed may still be connected.
    pub(crate) fn set_processors(&mut self, processors: Vec<(EntryId, Cores)>) -> bool {
        let present = processors.len() + self.connected.len();
        let mut changed = false;
        for (entry, cores) in processors {
            changed |= self.processors.insert(entry, cores) != Some(cores);
        }
        if self.processors.len() > present + MAX_ABSENT_PROCESSORS {
            self.forget_processors();
        }
        if changed {
            self.distribute();
        }
        changed
    }

    /// Drops the processors of entries that are neither listed nor connected.
    fn forget_processors(&mut self) {
        let present: FxHashSet<EntryId> =
            self.listed.iter().chain(&self.connected).map(|home| home.entry).collect();
        self.processors.retain(|entry, _| present.contains(entry));
    }

    /// Records that the store has reached this revision, as seen here or by a peer.
    pub(crate) fn observe_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    pub(crate) fn connect(&mut self, peer: Home) -> bool {
        self.connected.insert(peer);
        self.lost.connect(peer);
        self.sort_connected();
        self.refresh()
    }

    /// Records the loss of the connection to an entry that was last heard from at `heard`.
    pub(crate) fn disconnect(&mut self, peer: Home, heard: Time) -> bool {
        self.connected.remove(&peer);
        self.lost.forget_reports(peer);
        let is_replaced = self.connected.iter().any(|home| home.entry == peer.entry);
        if peer.data_centre == self.me.data_centre && !is_replaced {
            self.lost.disconnect(peer, heard);
        }
        self.leaving.remove(&peer);
        self.idle.remove(&peer);
        self.sort_connected();
        self.refresh()
    }

    /// Records whether an entry is draining; returns whether the keepers changed.
    pub(crate) fn set_leaving(&mut self, entry: Home, leaving: bool) -> bool {
        let changed = match leaving {
            true => self.leaving.insert(entry),
            false => self.leaving.remove(&entry),
        };
        changed && self.refresh()
    }

    /// Records whether a connected entry keeps no executor.
    pub(crate) fn set_idle(&mut self, entry: Home, idle: bool) {
        match idle {
            true => self.idle.insert(entry),
            false => self.idle.remove(&entry),
        };
    }

    /// The connected entries that may have executors to transfer.
    pub(crate) fn claimable(&self) -> impl Iterator<Item = Home> {
        self.connected().filter(|home| !self.idle.contains(home))
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.contains(&self.me)
    }

    pub(crate) fn connected(&self) -> impl Iterator<Item = Home> {
        self.connected.iter().copied()
    }

    /// The connected entries, the nearest first: those of this data centre, then the others in an
    /// order that differs between entries.
    pub(crate) fn by_distance(&self) -> &[Home] {
        &self.by_distance
    }

    fn sort_connected(&mut self) {
        let mut connected: Vec<_> = self.connected().collect();
        connected.sort_unstable_by_key(|home| distance(&self.me, home));
        self.by_distance = connected;
    }

    /// The distance of this entry as another one counts it.
    pub(crate) fn distance_from(&self, other: &Home) -> (bool, u64) {
        distance(other, &self.me)
    }

    /// Whether all listed entries that this one has to be connected to are connected or lost.
    pub(crate) fn is_connected(&self) -> bool {
        let is_settled = |home: &Home| self.connected.contains(home) || self.lost.contains(home);
        self.partners.iter().all(is_settled)
    }

    /// Records what an entry of this data centre reports of losses and of its fencing tokens.
    pub(crate) fn record_losses(&mut self, from: Home, lost: Vec<Home>, token: u64) {
        if from.data_centre == self.me.data_centre && self.connected.contains(&from) {
            self.lost.record_report(from, lost, token);
        }
    }

    /// Records that this process resumes after a pause, in which it heard from nobody.
    pub(crate) fn resume(&mut self, now: Time) {
        self.lost.resume(now);
    }

    /// Updates the entries of this data centre that this one has lost; returns whether there are
    /// new ones.
    pub(crate) fn update_losses(&mut self, now: Time, silence: Span) -> bool {
        let known = Known { listed: &self.listed, connected: &self.connected };
        self.lost.update_own(now, silence, &known)
    }

    /// Updates which entries of this data centre are considered lost; returns whether the keepers
    /// changed.
    pub(crate) fn confirm_losses(&mut self) -> bool {
        let known = Known { listed: &self.listed, connected: &self.connected };
        self.lost.confirm(self.me, &known) && self.refresh()
    }

    /// The entries of this data centre that this one has lost.
    pub(crate) fn losses(&self) -> &[Home] {
        self.lost.own()
    }

    /// Whether this entry hears from half of its data centre or less, though there are others that
    /// may consider it lost: they need to be a majority.
    pub(crate) fn is_isolated(&self) -> bool {
        let known = Known { listed: &self.listed, connected: &self.connected };
        let Heard { heard, all } = known.count(self.me);
        all > 2 && heard * 2 <= all
    }

    /// The connected keepers of this data centre.
    pub(crate) fn local_keepers(&self) -> impl Iterator<Item = Home> {
        let has_share = |home: &Home| {
            let kept = self.shares.local.iter().find(|(keeper, _)| keeper.entry == home.entry);
            kept.is_some_and(|(_, weight)| weight.0 > 0)
        };
        self.connected().filter(move |home| has_share(home))
    }

    pub(crate) fn is_me(&self, home: Home) -> bool {
        home == self.me
    }

    pub(crate) fn is_connected_to(&self, peer: Home) -> bool {
        self.connected.contains(&peer)
    }

    /// Whether two other entries are connected, as far as the layout of connections tells.
    pub(crate) fn is_connection_likely(&self, a: Home, b: Home) -> bool {
        a.data_centre == b.data_centre || self.listed.len() <= mesh::MAX_FULL_MESH_ENTRIES
    }

    pub(crate) fn keepers(&self) -> &[Home] {
        &self.keepers
    }

    /// Whether this entry has to keep executors, if there are any.
    pub(crate) fn is_keeper(&self) -> bool {
        self.joined && self.has_share
    }

    /// Whether it keeps executors only because no larger entry is known. Larger ones may be
    /// starting.
    pub(crate) fn is_stopgap(&self) -> bool {
        let own = self.processors.get(&self.me.entry).copied().unwrap_or_default();
        own > Cores(0) && own <= self.reserve
    }

    pub(crate) fn listed(&self) -> usize {
        self.listed.len()
    }

    /// Whether this entry has to keep an executor. The keeper is in the executor's data centre if
    /// possible, and all entries with the same view choose the same one.
    pub(crate) fn keeps(&self, executor: &Executor) -> bool {
        if !self.joined {
            return false;
        }
        let Shares { local, all, with_keepers } = &self.shares;
        let homes = match executor.data_centre {
            own if own == self.me.data_centre && with_keepers.contains(&own) => local,
            other if with_keepers.contains(&other) || self.absent.contains(other) => return false,
            _ => all,
        };
        rendezvous::weighted_keeper(homes, executor.id) == Some(without_incarnation(&self.me))
    }

    /// A fencing token for an executor that this entry begins to keep. It is higher than that of
    /// any entry that took the executor over at an earlier revision of the store, and unique to
    /// this entry. `tries` is the number of fenced attempts so far.
    pub(crate) fn token(&self, tries: u8) -> u64 {
        self.revision.0 << REVISION_SHIFT
            | u64::from(tries) << TRY_SHIFT
            | self.me.entry.0 & ENTRY_MASK
    }

    /// A fencing token of this entry that is higher than `token`, and the higher the more attempts to
    /// use one were fenced.
    pub(crate) fn token_above_by(&self, token: u64, tries: u8) -> u64 {
        self.token_above(token.saturating_add(u64::from(tries) << TRY_SHIFT))
    }

    /// A fencing token of this entry that is higher than `token`.
    pub(crate) fn token_above(&self, token: u64) -> u64 {
        match self.token(0) {
            own if own > token => own,
            own => ((token >> TRY_SHIFT) + 1) << TRY_SHIFT | own & ENTRY_MASK,
        }
    }

    fn refresh(&mut self) -> bool {
        let mut keepers = vec![self.me];
        keepers.extend(self.connected.iter().filter(|home| home.entry != self.me.entry));
        let mut known: FxHashSet<EntryId> = keepers.iter().map(|home| home.entry).collect();
        keepers.extend(self.listed.iter().filter(|home| known.insert(home.entry)));
        // Of two processes of one entry, the listed one is the newer unless it is unreachable.
        let listed: FxHashSet<Home> = self.listed.iter().copied().collect();
        keepers.sort_unstable_by_key(|home| (home.entry, !listed.contains(home), *home));
        keepers.dedup_by_key(|home| home.entry);
        keepers.retain(|home| !self.leaving.contains(home) && !self.lost.contains(home));
        let changed = keepers != self.keepers;
        if changed {
            self.keepers = keepers;
            self.distribute();
        }
        changed
    }

    fn distribute(&mut self) {
        let weighed = self.weigh(&self.keepers);
        let weighed: Vec<_> = weighed
            .into_iter()
            .map(|(home, weight)| (without_incarnation(&home), weight))
            .collect();
        let me = without_incarnation(&self.me);
        self.has_share = weighed.iter().any(|(home, weight)| *home == me && weight.0 > 0);
        let shares = Shares::new(self.me.data_centre, weighed);
        let before = std::mem::replace(&mut self.shares, shares);
        before
            .with_keepers
            .difference(&self.shares.with_keepers)
            .for_each(|gone| self.absent.insert(*gone));
        self.shares.with_keepers.iter().for_each(|there| self.absent.remove(*there));
    }

    /// Records that executors of these data centres have renewed their registrations.
    pub(crate) fn record_renewals(&mut self, now: Time, data_centres: &[DataCentreId]) {
        data_centres.iter().for_each(|data_centre| self.absent.record_renewal(now, *data_centre));
    }

    /// Stops waiting for the entries of data centres whose executors returned without them; returns
    /// whether that may change which executors to keep.
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
        let local = all.iter().filter(|(home, _)| home.data_centre == own).copied().collect();
        let with_keepers = all.iter().map(|(home, _)| home.data_centre).collect();
        Self { local, all, with_keepers }
    }
}

/// The distance of an entry as another one counts it: whether it is in another data centre, and its
/// place in an order that differs between entries.
fn distance(from: &Home, to: &Home) -> (bool, u64) {
    (from.data_centre != to.data_centre, to.entry.0.wrapping_sub(from.entry.0))
}

/// The entry with its incarnation cleared.
fn without_incarnation(home: &Home) -> Home {
    Home { incarnation: Incarnation(0), ..*home }
}
