//! What a home knows of the keepers that it sends tasks to.

use crate::{
    load::Load,
    message::{Report, Room},
};
use rustc_hash::FxHashMap;
use site::{
    id::Home,
    unit::{Span, Time},
};

/// A keeper's report is not believed for longer than this. Above the interval at which reports
/// are repeated, 2 s among 500 entries; the end of a connection is noticed after 0.8 s.
const REPORT_AGE: Span = Span::from_millis(4_000);

/// The keepers that are connected.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: FxHashMap<Home, Peer>,
}

/// One keeper.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) report: Report,
    pub(crate) at: Time,
}

impl Peers {
    pub(crate) fn connect(&mut self, peer: Home) {
        self.peers.entry(peer).or_default();
    }

    pub(crate) fn disconnect(&mut self, peer: Home) {
        self.peers.remove(&peer);
    }

    /// Takes a report in; returns whether work begins to wait there.
    pub(crate) fn report(&mut self, now: Time, from: Home, report: Report) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else { return false };
        let begins = report.begins_to_wait(&peer.report);
        *peer = Peer { report, at: now };
        begins
    }

    /// Keepers with room, and how much.
    pub(crate) fn with_room(&self, now: Time) -> impl Iterator<Item = (Home, &Room)> {
        let usable =
            move |peer: &Peer| !peer.report.room.is_empty() && now.since(peer.at) < REPORT_AGE;
        self.peers.iter().filter(move |(_, p)| usable(p)).map(|(home, p)| (*home, &p.report.room))
    }

    /// Those at which work waits for room.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = Home> {
        let waits = |(_, peer): &(&Home, &Peer)| peer.report.load.waiting > 0;
        self.peers.iter().filter(waits).map(|(home, _)| *home)
    }

    /// What keepers say of the work that waits there and of their executors.
    pub(crate) fn loads(&self, now: Time) -> impl Iterator<Item = Load> {
        let fresh = self.peers.values().filter(move |peer| now.since(peer.at) < REPORT_AGE);
        fresh.map(|peer| peer.report.load)
    }

    /// Notes that tasks were sent, until the next report.
    pub(crate) fn take(&mut self, peer: Home, cores: u32, tasks: u32) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.report.room.take(cores, tasks);
        }
    }

    pub(crate) fn capacity(&self) -> u32 {
        self.peers.values().map(|peer| peer.report.capacity).sum()
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(crate) fn age(&self, now: Time, peer: Home) -> Span {
        self.peers.get(&peer).map_or(Span::ZERO, |peer| now.since(peer.at))
    }

    /// The newest configuration that a peer knows of.
    pub(crate) fn configurations(&self) -> impl Iterator<Item = (Home, u64)> {
        self.peers.iter().map(|(home, peer)| (*home, peer.report.configuration))
    }
}
