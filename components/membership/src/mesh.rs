//! Which entries keep a connection to each other.

use site::{
    id::{DataCentreId, Home},
    unit::Weight,
};
use std::collections::BTreeMap;

/// Up to so many entries, each is connected to every other one. More connections than that take an
/// entry too long to make when it starts.
pub const FULL_MESH: usize = 48;

/// Connections that each entry of the larger of two data centres has to the other one, in a site
/// of more entries than [`FULL_MESH`]. One may be down and another one far behind.
pub const FAR_PARTNERS: usize = 2;

/// The entries that `me` keeps connections to: all in a small site; else all of the own data centre
/// and a few of each other one. Symmetric for entries that know the same homes.
pub fn partners(me: Home, homes: &[Home]) -> Vec<Home> {
    let homes: Vec<_> = homes.iter().map(|home| (*home, Weight(1))).collect();
    weighted_partners(me, &homes)
}

/// Like [`partners`], but connections to other data centres all have an entry with weight at one end:
/// only such entries keep executors that tasks can be sent to.
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
    if let Some(rank) = rank(&own.others) {
        let count = theirs.keepers.len();
        let is_linked = |keeper: usize| is_chosen(rank, keeper, count);
        return select(&theirs.keepers, is_linked);
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
    partners.extend(select(&theirs.others, |their_rank| is_chosen(their_rank, rank, ours)));
    partners
}

fn select(homes: &[Home], is_linked: impl Fn(usize) -> bool) -> Vec<Home> {
    let ranked = homes.iter().enumerate();
    ranked.filter(|(rank, _)| is_linked(*rank)).map(|(_, home)| *home).collect()
}

/// Whether an entry that keeps nothing, at `rank` among such ones, is linked to the one at `keeper` of
/// `count` keepers of another data centre.
fn is_chosen(rank: usize, keeper: usize, count: usize) -> bool {
    (keeper + count - rank % count) % count < FAR_PARTNERS
}

/// Whether the entry at rank `low` of the smaller data centre, which has `count`, is linked to the
/// one at rank `high` of the larger.
fn is_pair(low: usize, count: usize, high: usize) -> bool {
    (low + count - high % count) % count < FAR_PARTNERS
}
