//! Which entries keep a connection to each other.

use site::id::{DataCentreId, Home};
use std::collections::BTreeMap;

/// Up to so many entries, each is connected to every other one. A connection takes 4.4 ms to make at
/// a quarter of a core, so that all of an entry's take a fifth of a second then.
pub const FULL_MESH: usize = 48;

/// Connections that each entry of the larger of two data centres has to the other one, in a site
/// of more entries than [`FULL_MESH`]. One may be down and another one far behind.
pub const FAR_PARTNERS: usize = 2;

/// The entries that `me` keeps connections to: all in a small site; else all of the own data centre
/// and a few of each other one. Symmetric for entries that know the same homes.
pub fn partners(me: Home, homes: &[Home]) -> Vec<Home> {
    let others = || homes.iter().copied().filter(|home| home.entry != me.entry);
    if homes.len() <= FULL_MESH {
        return others().collect();
    }
    let mut data_centres: BTreeMap<DataCentreId, Vec<Home>> = BTreeMap::new();
    for home in others().chain([me]) {
        data_centres.entry(home.data_centre).or_default().push(home);
    }
    data_centres.values_mut().for_each(|homes| homes.sort_unstable_by_key(|home| home.entry));
    let own = data_centres.remove(&me.data_centre).unwrap_or_default();
    // Always there: it was put in above.
    let rank = own.iter().position(|home| home.entry == me.entry).unwrap_or_default();
    let near = own.iter().copied().filter(|home| home.entry != me.entry);
    let count = own.len();
    let far = data_centres.iter().flat_map(|(place, theirs)| {
        let own_is_smaller = (count, me.data_centre) < (theirs.len(), *place);
        remote(rank, count, theirs, own_is_smaller)
    });
    near.chain(far).collect()
}

/// The partners, in another data centre, of the entry at `rank` of `count`.
fn remote(rank: usize, count: usize, theirs: &[Home], own_is_smaller: bool) -> Vec<Home> {
    let is_linked = |their_rank: usize| match own_is_smaller {
        true => is_pair(rank, count, their_rank),
        false => is_pair(their_rank, theirs.len(), rank),
    };
    let ranked = theirs.iter().enumerate();
    ranked.filter(|(their_rank, _)| is_linked(*their_rank)).map(|(_, home)| *home).collect()
}

/// Whether the entry at rank `low` of the smaller data centre, which has `count`, is linked to the
/// one at rank `high` of the larger.
fn is_pair(low: usize, count: usize, high: usize) -> bool {
    (low + count - high % count) % count < FAR_PARTNERS
}
