//! Peers with an outdated configuration, and which entries send them the current one.
//!
//! The store notifies nearly all entries within milliseconds. If each entry sent a large
//! configuration to every other one during that time, it would fill their memory and links. So few
//! entries send it to a peer at first, and more of them the longer the peer is outdated.

use membership::rendezvous;
use rustc_hash::FxHashMap;
use site::{
    id::Home,
    unit::{Span, Time},
};

/// How long the store has to notify a peer before entries do.
const STORE_TIMEOUT: Span = Span::from_millis(400);

/// Number of entries that send it to a peer at first.
const INITIAL_SENDERS: usize = 2;

/// Interval at which that number doubles, since some of them may not reach the peer.
const DOUBLING_INTERVAL: Span = Span::from_millis(200);

/// Number of doublings after which all entries of any site send it.
const MAX_DOUBLINGS: u64 = 16;

/// Peers with an older configuration than this entry.
#[derive(Debug, Default)]
pub(crate) struct OutdatedPeers {
    /// Since when each is known to be outdated.
    since: FxHashMap<Home, Time>,
}

impl OutdatedPeers {
    /// Returns the peers that this entry has to send its configuration to now. `known` holds the
    /// version that each peer knows.
    pub(crate) fn take_due(
        &mut self,
        now: Time,
        me: Home,
        version: u64,
        known: impl Iterator<Item = (Home, u64)>,
    ) -> Vec<Home> {
        let (outdated, up_to_date): (Vec<_>, Vec<_>) =
            known.partition(|(_, known)| *known < version);
        let up_to_date: Vec<Home> = up_to_date.into_iter().map(|(home, _)| home).collect();
        let outdated: Vec<Home> = outdated.into_iter().map(|(home, _)| home).collect();
        self.since.retain(|home, _| outdated.contains(home));
        let mut recipients = Vec::new();
        for peer in outdated {
            let lag = now.since(*self.since.entry(peer).or_insert(now));
            if lag >= STORE_TIMEOUT && preceding(me, &up_to_date, peer) < senders(lag) {
                recipients.push(peer);
            }
        }
        recipients
    }
}

/// Number of entries that send the configuration to a peer that has been outdated for `lag`.
fn senders(lag: Span) -> usize {
    let doublings = ((lag - STORE_TIMEOUT).0 / DOUBLING_INTERVAL.0).min(MAX_DOUBLINGS);
    INITIAL_SENDERS << doublings
}

/// Number of up-to-date entries that precede this one, in an order that differs between peers.
fn preceding(me: Home, up_to_date: &[Home], peer: Home) -> usize {
    let own = rendezvous::rank(me, peer.entry.0);
    up_to_date.iter().filter(|home| rendezvous::rank(**home, peer.entry.0) < own).count()
}
