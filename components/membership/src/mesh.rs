//! Chooses the pairs of entries that keep a connection to each other.

use crate::rendezvous;
use site::{
    id::{DataCentreId, Home, Incarnation},
    unit::Weight,
};
use std::collections::BTreeMap;

/// Maximum number of entries that form a full mesh. With more, an entry takes too long at its start
/// to connect to all others.
pub const MAX_FULL_MESH_ENTRIES: usize = 48;

/// Number of connections that each entry of the larger of two data centres has to the other one, in
/// a site of more entries than [`MAX_FULL_MESH_ENTRIES`]. One may be down and the other one may
/// lag.
pub const REMOTE_PEERS: usize = 2;

/// Returns the entries that `me` keeps connections to if all have the same weight. In a site of up
/// to [`MAX_FULL_MESH_ENTRIES`] entries these are all others; in a larger one, all of its data
/// centre and a few of each other one. Symmetric between entries that know the same homes.
pub fn peers(me: Home, homes: &[Home]) -> Vec<Home> {
    let homes: Vec<_> = homes.iter().map(|home| (*home, Weight(1))).collect();
    weighted_peers(me, &homes)
}

/// Like [`peers`], but in a large site at least one end of each connection is an entry of nonzero
/// weight, since only such entries keep executors that tasks can be sent to. An entry of zero
/// weight is connected to all entries of nonzero weight in its data centre and to a few in each
/// other one, so that its connections don't grow with the number of entries of zero weight.
pub fn weighted_peers(me: Home, homes: &[(Home, Weight)]) -> Vec<Home> {
    let others = homes.iter().map(|(home, _)| *home).filter(|home| home.entry != me.entry);
    if homes.len() <= MAX_FULL_MESH_ENTRIES {
        return others.collect();
    }
    let mut data_centres: BTreeMap<DataCentreId, Entries> = BTreeMap::new();
    for (home, weight) in homes.iter().filter(|(home, _)| home.entry != me.entry) {
        data_centres.entry(home.data_centre).or_default().insert(*home, weight.0 > 0);
    }
    let is_keeper = homes.iter().any(|(home, weight)| home.entry == me.entry && weight.0 > 0);
    data_centres.entry(me.data_centre).or_default().insert(me, is_keeper);
    data_centres.values_mut().for_each(Entries::sort);
    let own = data_centres.remove(&me.data_centre).unwrap_or_default();
    let near = own.all().filter(|home| home.entry != me.entry);
    let near = near.filter(|home| is_keeper || own.keepers.contains(home));
    let far = data_centres.values().flat_map(|theirs| remote(me, &own, theirs));
    near.chain(far).collect()
}

/// The entries of a data centre, by whether they keep executors.
#[derive(Debug, Default)]
struct Entries {
    keepers: Vec<Home>,
    others: Vec<Home>,
}

impl Entries {
    fn insert(&mut self, home: Home, is_keeper: bool) {
        match is_keeper {
            true => self.keepers.push(home),
            false => self.others.push(home),
        }
    }

    fn sort(&mut self) {
        self.keepers.sort_unstable_by_key(|home| home.entry);
        self.others.sort_unstable_by_key(|home| home.entry);
    }

    fn all(&self) -> impl Iterator<Item = Home> {
        self.keepers.iter().chain(&self.others).copied()
    }
}

/// Returns the entries of another data centre that `me` keeps connections to.
fn remote(me: Home, own: &Entries, theirs: &Entries) -> Vec<Home> {
    let rank = |homes: &[Home]| homes.iter().position(|home| home.entry == me.entry);
    if rank(&own.others).is_some() {
        return chosen(me, &theirs.keepers);
    }
    // Always found: `me` was inserted either here or among the others.
    let rank = rank(&own.keepers).unwrap_or_default();
    let (ours, count) = (own.keepers.len(), theirs.keepers.len());
    let own_is_smaller = (ours, me.data_centre)
        < (count, theirs.keepers.first().map_or(me, |home| *home).data_centre);
    let mut peers = select(&theirs.keepers, |their_rank| match own_is_smaller {
        true => is_pair(rank, ours, their_rank),
        false => is_pair(their_rank, count, rank),
    });
    let choose_me = |other: &&Home| chosen(**other, &own.keepers).contains(&me);
    peers.extend(theirs.others.iter().filter(choose_me));
    peers
}

fn select(homes: &[Home], is_linked: impl Fn(usize) -> bool) -> Vec<Home> {
    let ranked = homes.iter().enumerate();
    ranked.filter(|(rank, _)| is_linked(*rank)).map(|(_, home)| *home).collect()
}

/// Returns the keepers of another data centre that an entry of zero weight is connected to. A
/// keeper that joins or leaves changes the connections of few entries; one that restarts changes
/// none.
fn chosen(other: Home, keepers: &[Home]) -> Vec<Home> {
    let rank = |keeper: &Home| {
        let stable = Home { incarnation: Incarnation(0), ..*keeper };
        (rendezvous::rank(stable, other.entry.0), keeper.entry)
    };
    let mut ranked = keepers.to_vec();
    ranked.sort_by_cached_key(rank);
    ranked.truncate(REMOTE_PEERS);
    ranked
}

/// Returns whether the entry at rank `low` of the smaller data centre, which has `count` entries,
/// is connected to the one at rank `high` of the larger.
fn is_pair(low: usize, count: usize, high: usize) -> bool {
    (low + count - high % count) % count < REMOTE_PEERS
}
