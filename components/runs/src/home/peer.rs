//! What a home knows of the keepers that it sends tasks to.

use crate::{
    load::{Load, Summary},
    message::{Report, Room},
};
use rustc_hash::FxHashMap;
use site::{
    id::{DataCentreId, Home},
    unit::{Span, Time},
};
use std::collections::BTreeMap;

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

    /// The loads of the entries of a data centre that are connected, with one's own there.
    pub(crate) fn summary(&self, now: Time, data_centre: DataCentreId, own: Load) -> Summary {
        let there = self.fresh(now).filter(|(home, _)| home.data_centre == data_centre);
        there.fold(Summary::default().with(own), |sum, (_, report)| sum.with(report.load))
    }

    /// The load of the site, as far as it is known. Of each data centre that is the sum over most
    /// entries: of those that are connected, or what one of them has heard of its own.
    pub(crate) fn site_load(&self, now: Time, own: DataCentreId, load: Load) -> Load {
        let mut heard: BTreeMap<DataCentreId, Summary> = BTreeMap::new();
        heard.insert(own, Summary::default().with(load));
        for (home, report) in self.fresh(now) {
            let sum = heard.entry(home.data_centre).or_default();
            *sum = sum.with(report.load);
        }
        for (home, report) in self.fresh(now) {
            let sum = heard.entry(home.data_centre).or_default();
            if report.near.entries > sum.entries {
                *sum = report.near;
            }
        }
        heard.into_values().map(|summary| summary.load).sum()
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (Home, &Report)> {
        let fresh = self.peers.iter().filter(move |(_, peer)| now.since(peer.at) < REPORT_AGE);
        fresh.map(|(home, peer)| (*home, &peer.report))
    }

    /// Whether there are keepers, and all say that their executors are under cordon.
    pub(crate) fn are_cordoned(&self) -> bool {
        let mut keepers = self.peers.values().filter(|peer| peer.report.capacity > 0).peekable();
        keepers.peek().is_some() && keepers.all(|peer| peer.report.cordoned)
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
