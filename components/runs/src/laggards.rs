//! Peers that know an older configuration than this entry, and who of the entries tells them.
//!
//! The store tells nearly all of them within milliseconds. A large configuration that each entry sent
//! to every other one would fill their memory and links just then, so that few entries tell a peer
//! at first, and more of them the longer it lags behind.

use membership::rendezvous;
use rustc_hash::FxHashMap;
use site::{
    id::Home,
    unit::{Span, Time},
};

/// How long the store is left to tell a peer.
const PATIENCE: Span = Span::from_millis(400);

/// Entries that tell a peer first.
const TELLERS: usize = 2;

/// After this time twice as many do: some may not reach it.
const DOUBLING: Span = Span::from_millis(200);

/// Doublings after which all entries of any site tell.
const MOST_DOUBLINGS: u64 = 16;

/// Peers that know an older configuration.
#[derive(Debug, Default)]
pub(crate) struct Laggards {
    /// Since when each is known to.
    since: FxHashMap<Home, Time>,
}

impl Laggards {
    /// The peers that this entry is to tell its configuration now. `known` holds the version that each
    /// peer knows.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
        me: Home,
        version: u64,
        known: impl Iterator<Item = (Home, u64)>,
    ) -> Vec<Home> {
        let (behind, informed): (Vec<_>, Vec<_>) = known.partition(|(_, known)| *known < version);
        let informed: Vec<Home> = informed.into_iter().map(|(home, _)| home).collect();
        let behind: Vec<Home> = behind.into_iter().map(|(home, _)| home).collect();
        self.since.retain(|home, _| behind.contains(home));
        let mut to_tell = Vec::new();
        for peer in behind {
            let lag = now.since(*self.since.entry(peer).or_insert(now));
            if lag >= PATIENCE && precede(me, &informed, peer) < tellers(lag) {
                to_tell.push(peer);
            }
        }
        to_tell
    }
}

/// How many entries tell a peer that lags behind for so long.
fn tellers(lag: Span) -> usize {
    let doublings = ((lag - PATIENCE).0 / DOUBLING.0).min(MOST_DOUBLINGS);
    TELLERS << doublings
}

/// How many informed entries come before this one in an order that differs from peer to peer.
fn precede(me: Home, informed: &[Home], peer: Home) -> usize {
    let own = rendezvous::rank(me, peer.entry.0);
    informed.iter().filter(|home| rendezvous::rank(**home, peer.entry.0) < own).count()
}
