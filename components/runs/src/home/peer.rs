//! The latest reports of connected entries.

use super::{admission::Totals, contact::Contacts};
use crate::{
    action::Decision,
    demand::Demand,
    load::{Load, Summary},
    message::{Report, Room},
    speed::Factor,
};
use rustc_hash::FxHashMap;
use site::{
    id::{DataCentreId, Home},
    unit::{Span, Time},
};
use std::collections::BTreeMap;

/// A report is valid for this long. Above the interval at which reports are repeated, 2 s among 500
/// entries; the end of a connection is noticed after 0.8 s.
const MAX_REPORT_AGE: Span = Span::from_millis(4_000);

/// The connected entries and their reports.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: FxHashMap<Home, Peer>,
    contacts: Contacts,
    /// A data centre that is silent for longer may be cut off.
    data_centre_silence: Span,
}

/// The latest report of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) report: Report,
    pub(crate) at: Time,
}

impl Peers {
    pub(crate) fn new(data_centre_silence: Span) -> Self {
        Self { data_centre_silence, ..Self::default() }
    }

    /// Records a sign of life of an entry in another data centre.
    pub(crate) fn hear(&mut self, now: Time, data_centre: DataCentreId) {
        self.contacts.record(now, data_centre);
    }

    /// The data centres that became silent or were heard again since the last call.
    pub(crate) fn take_silence_changes(&mut self, now: Time) -> Vec<Decision> {
        self.contacts.take_changes(now, self.data_centre_silence)
    }

    /// Whether a data centre may be cut off.
    fn is_silent(&self, now: Time, data_centre: DataCentreId) -> bool {
        self.contacts.is_silent(now, data_centre, self.data_centre_silence)
    }

    pub(crate) fn connect(&mut self, peer: Home) {
        self.peers.entry(peer).or_default();
    }

    pub(crate) fn disconnect(&mut self, peer: Home) {
        self.peers.remove(&peer);
    }

    /// Records a report; returns whether the peer begins to have pending work.
    pub(crate) fn report(&mut self, now: Time, from: Home, report: Report) -> bool {
        let Some(peer) = self.peers.get_mut(&from) else { return false };
        let has_gained = report.gains_pending_work(&peer.report);
        *peer = Peer { report, at: now };
        has_gained
    }

    /// Keepers with room that are not in a data centre which may be cut off, and their room.
    pub(crate) fn with_room(&self, now: Time) -> impl Iterator<Item = (Home, &Room)> {
        let usable = move |home: Home, peer: &Peer| {
            !peer.report.room.is_empty()
                && now.since(peer.at) < MAX_REPORT_AGE
                && !self.is_silent(now, home.data_centre)
        };
        let usable = self.peers.iter().filter(move |(home, peer)| usable(**home, peer));
        usable.map(|(home, peer)| (*home, &peer.report.room))
    }

    /// The peer with the most room for tasks that need `cores`, among those that `is_eligible`
    /// selects, and how many it has room for on executors at least as fast as `slowest`.
    pub(crate) fn most_room(
        &self,
        now: Time,
        cores: u32,
        slowest: Option<Factor>,
        is_eligible: impl Fn(Home) -> bool,
    ) -> Option<(Home, u32)> {
        let rooms = self.with_room(now).filter(|(home, _)| is_eligible(*home));
        let counts = rooms.map(|(home, room)| (home, room.count_for(cores, slowest)));
        counts.filter(|(_, count)| *count > 0).max_by_key(|(home, count)| (*count, *home))
    }

    /// Peers that keep executors.
    pub(crate) fn keepers(&self) -> impl Iterator<Item = Home> {
        let keeps = |(_, peer): &(&Home, &Peer)| peer.report.capacity > 0;
        self.peers.iter().filter(keeps).map(|(home, _)| *home)
    }

    /// Peers with pending work.
    pub(crate) fn with_pending(&self) -> impl Iterator<Item = Home> {
        let is_pending = |(_, peer): &(&Home, &Peer)| peer.report.load.pending > 0;
        self.peers.iter().filter(is_pending).map(|(home, _)| *home)
    }

    /// The sum of the loads of the connected entries of a data centre and of this entry's own load.
    pub(crate) fn summary(&self, now: Time, data_centre: DataCentreId, own: Load) -> Summary {
        let there = self.fresh(now).filter(|(home, _)| home.data_centre == data_centre);
        there.fold(Summary::default().with(own), |sum, (_, report)| sum.with(report.load))
    }

    /// The load and demand of the site, from the latest reports. For each data centre it is the sum that
    /// covers the most entries: that of the connected ones, or one that an entry there reports.
    pub(crate) fn totals(&self, now: Time, data_centre: DataCentreId, own: Totals) -> Totals {
        let mut sums: BTreeMap<DataCentreId, (Summary, Demand)> = BTreeMap::new();
        sums.insert(data_centre, (Summary::default().with(own.load), own.demand));
        for (home, report) in self.fresh(now) {
            let (sum, demand) = sums.entry(home.data_centre).or_default();
            *sum = sum.with(report.load);
            *demand = [*demand, *report.demand].into_iter().sum();
        }
        for (home, report) in self.fresh(now) {
            let sum = sums.entry(home.data_centre).or_default();
            if report.data_centre_load.entries > sum.0.entries {
                *sum = (report.data_centre_load, *report.data_centre_demand);
            }
        }
        let load = sums.values().map(|(summary, _)| summary.load).sum();
        Totals { load, demand: sums.into_values().map(|(_, demand)| demand).sum() }
    }

    /// The sum of the demands that [`summary`](Self::summary) covers.
    pub(crate) fn demand(&self, now: Time, data_centre: DataCentreId, own: Demand) -> Demand {
        let there = self.fresh(now).filter(|(home, _)| home.data_centre == data_centre);
        there.map(|(_, report)| *report.demand).chain([own]).sum()
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (Home, &Report)> {
        let fresh = self.peers.iter().filter(move |(_, peer)| now.since(peer.at) < MAX_REPORT_AGE);
        fresh.map(|(home, peer)| (*home, &peer.report))
    }

    /// Whether there are keepers, and all report that their executors are under cordon.
    pub(crate) fn are_cordoned(&self) -> bool {
        let mut keepers = self.peers.values().filter(|peer| peer.report.capacity > 0).peekable();
        keepers.peek().is_some() && keepers.all(|peer| peer.report.cordoned)
    }

    /// The room of a peer, until its next report.
    pub(crate) fn room_mut(&mut self, peer: Home) -> Option<&mut Room> {
        self.peers.get_mut(&peer).map(|peer| &mut peer.report.room)
    }

    /// The rooms of all peers, empty ones included.
    pub(crate) fn rooms(&self, now: Time) -> impl Iterator<Item = &Room> {
        self.fresh(now).map(|(_, report)| &report.room)
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

    /// The configuration version that each peer knows.
    pub(crate) fn configurations(&self) -> impl Iterator<Item = (Home, u64)> {
        self.peers.iter().map(|(home, peer)| (*home, peer.report.configuration))
    }
}
