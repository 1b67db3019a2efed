//! Rendezvous hashing: entries that know the same homes make the same choices.

use crate::options::REMOTE_HEARTBEAT_PEERS;
use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, Home},
    unit::Weight,
};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the home with the highest score for `endpoint`; `None` without homes.
///
/// Removing a home moves only the endpoints that it kept.
pub fn keeper(homes: &[Home], endpoint: EndpointId) -> Option<Home> {
    homes.iter().copied().max_by_key(|home| (score(*home, endpoint), *home))
}

/// Like [`keeper`], but each home keeps a share of the endpoints in proportion to its weight; a
/// home of zero weight keeps none. `None` if no weight is above zero.
///
/// A change of one home's weight moves endpoints to or from that home only.
pub fn weighted_keeper(homes: &[(Home, Weight)], endpoint: EndpointId) -> Option<Home> {
    let weighted = homes.iter().filter(|(_, weight)| weight.0 > 0);
    let scored = weighted.map(|(home, weight)| (weighted_score(*home, *weight, endpoint), *home));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
    Some(best.1)
}

/// Returns a score that is the highest of all homes with probability proportional to the weight.
fn weighted_score(home: Home, weight: Weight, endpoint: EndpointId) -> f64 {
    // Above 0 and at most 1, since the conversion to `f64` may round up.
    let fraction = (score(home, endpoint) as f64 + 0.5) / 2f64.powi(64);
    f64::from(weight.0) / -fraction.ln().min(-f64::MIN_POSITIVE)
}

/// Returns the pairs of entries of two data centres that exchange heartbeats. Symmetric in its
/// arguments.
///
/// Each home of the larger side gets [`REMOTE_HEARTBEAT_PEERS`] pairs where possible and always at
/// least one; they are spread evenly over the smaller side, and each of its homes gets at least
/// one.
pub fn heartbeat_pairs(ours: &[Home], theirs: &[Home]) -> Vec<(Home, Home)> {
    if ours.is_empty() || theirs.is_empty() {
        return Vec::new();
    }
    let larger = ours.len().max(theirs.len());
    let cap = |side: &[Home]| (REMOTE_HEARTBEAT_PEERS * larger).div_ceil(side.len());
    let (our_cap, their_cap) = (cap(ours), cap(theirs));
    let ranked = ranked_pairs(ours, theirs);
    let mut degree = FxHashMap::<Home, usize>::default();
    let mut chosen = Vec::new();
    for &(a, b) in &ranked {
        if count(&degree, a) < our_cap && count(&degree, b) < their_cap {
            choose(&mut chosen, &mut degree, (a, b));
        }
    }
    for &(a, b) in &ranked {
        if count(&degree, a) == 0 || count(&degree, b) == 0 {
            choose(&mut chosen, &mut degree, (a, b));
        }
    }
    chosen
}

fn choose(chosen: &mut Vec<(Home, Home)>, degree: &mut FxHashMap<Home, usize>, pair: (Home, Home)) {
    *degree.entry(pair.0).or_default() += 1;
    *degree.entry(pair.1).or_default() += 1;
    chosen.push(pair);
}

fn count(degree: &FxHashMap<Home, usize>, home: Home) -> usize {
    degree.get(&home).copied().unwrap_or(0)
}

fn ranked_pairs(ours: &[Home], theirs: &[Home]) -> Vec<(Home, Home)> {
    let mut pairs: Vec<_> =
        ours.iter().flat_map(|a| theirs.iter().map(move |b| (*a, *b))).collect();
    pairs.sort_by_cached_key(|&(a, b)| {
        let (low, high) = (a.min(b), a.max(b));
        Reverse((pair_score(low, high), low, high))
    });
    pairs
}

fn score(home: Home, endpoint: EndpointId) -> u64 {
    rank(home, endpoint.0)
}

/// Returns the hash by which homes are ordered for `subject`.
pub fn rank(home: Home, subject: u64) -> u64 {
    digest([home.data_centre.0, home.entry.0, home.incarnation.0, subject])
}

fn pair_score(low: Home, high: Home) -> u64 {
    let home_digest =
        |home: Home| digest([home.data_centre.0, home.entry.0, home.incarnation.0, 0]);
    digest([home_digest(low), home_digest(high), 0, 0])
}

fn digest(words: [u64; 4]) -> u64 {
    let mut bytes = [0; 32];
    for (chunk, word) in bytes.chunks_exact_mut(8).zip(words) {
        chunk.copy_from_slice(&word.to_le_bytes());
    }
    xxh3_64(&bytes)
}
