//! Which entries keep a connection to each other.

use crate::rendezvous;
use site::{
    id::{DataCentreId, Home, Incarnation},
    unit::Weight,
};
use std::collections::BTreeMap;

/// Up to so many entries, each is connected to every other one. More connections than that take an
/// entry too long to make when it starts.
pub const FULL_MESH: usize = 48;

/// Connections that each entry of the larger of two data centres has to the other one, in a site
/// of more entries than [`FULL_MESH`]. One may be down and another one far behind.
pub const FAR_PARTNERS: usize = 2;

/// The entries that `me` keeps connections to, all with the same weight: all in a small site; else all
/// of the own data centre and a few of each other one. Symmetric for entries that know the same homes.
pub fn partners(me: Home, homes: &[Home]) -> Vec<Home> {
    let homes: Vec<_> = homes.iter().map(|home| (*home, Weight(1))).collect();
    weighted_partners(me, &homes)
}

/// Like [`partners`], but in a large site each connection has an entry with weight at one end: only such
/// entries keep executors that tasks can be sent to. One without weight is connected to all with
/// weight of its own data centre and a few of each other one, so that its connections don't grow with
/// the entries that are like it.
pub fn weighted_partners(me: Home, homes: &[(Home, Weight)]) -> Vec<Home> {
    let others = homes.iter().map(|(home, _)| *home).filter(|home| home.entry != me.entry);
    if homes.len() <= FULL_MESH {
        return others.collect();
    }
    let mut data_centres: BTreeMap<DataCentreId, Entries> = BTreeMap::new();
    for (home, weight) in homes.iter().filter(|(home, _)| home.entry != me.entry) {
        data_centres.entry(home.data_centre).or_default().insert(*home, weight.0 > 0);
    }
    let keeps = homes.iter().any(|(home, weight)| home.entry == me.entry && weight.0 > 0);
    data_centres.entry(me.data_centre).or_default().insert(me, keeps);
    data_centres.values_mut().for_each(Entries::sort);
    let own = data_centres.remove(&me.data_centre).unwrap_or_default();
    let near = own.all().filter(|home| home.entry != me.entry);
    let near = near.filter(|home| keeps || own.keepers.contains(home));
    let far = data_centres.values().flat_map(|theirs| remote(me, &own, theirs));
    near.chain(far).collect()
}

/// The entries of a data centre.
#[derive(Debug, Default)]
struct Entries {
    keepers: Vec<Home>,
    others: Vec<Home>,
}

impl Entries {
    fn insert(&mut self, home: Home, keeps: bool) {
        match keeps {
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

/// The partners of `me` in another data centre.
fn remote(me: Home, own: &Entries, theirs: &Entries) -> Vec<Home> {
    let rank = |homes: &[Home]| homes.iter().position(|home| home.entry == me.entry);
    if rank(&own.others).is_some() {
        return chosen(me, &theirs.keepers);
    }
    // Always there: it was put in among these or the others.
    let rank = rank(&own.keepers).unwrap_or_default();
    let (ours, count) = (own.keepers.len(), theirs.keepers.len());
    let own_is_smaller = (ours, me.data_centre)
        < (count, theirs.keepers.first().map_or(me, |home| *home).data_centre);
    let mut partners = select(&theirs.keepers, |their_rank| match own_is_smaller {
        true => is_pair(rank, ours, their_rank),
        false => is_pair(their_rank, count, rank),
    });
    let choose_me = |other: &&Home| chosen(**other, &own.keepers).contains(&me);
    partners.extend(theirs.others.iter().filter(choose_me));
    partners
}

fn select(homes: &[Home], is_linked: impl Fn(usize) -> bool) -> Vec<Home> {
    let ranked = homes.iter().enumerate();
    ranked.filter(|(rank, _)| is_linked(*rank)).map(|(_, home)| *home).collect()
}

/// The keepers of another data centre that an entry without weight is linked to. A keeper that comes or
/// goes changes the links of few entries; one that starts again changes none.
fn chosen(other: Home, keepers: &[Home]) -> Vec<Home> {
    let rank = |keeper: &Home| {
        let stable = Home { incarnation: Incarnation(0), ..*keeper };
        (rendezvous::rank(stable, other.entry.0), keeper.entry)
    };
    let mut ranked = keepers.to_vec();
    ranked.sort_by_cached_key(rank);
    ranked.truncate(FAR_PARTNERS);
    ranked
}

/// Whether the entry at rank `low` of the smaller data centre, which has `count`, is linked to the
/// one at rank `high` of the larger.
fn is_pair(low: usize, count: usize, high: usize) -> bool {
    (low + count - high % count) % count < FAR_PARTNERS
}
