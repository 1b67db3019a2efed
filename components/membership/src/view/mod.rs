//! Membership view: the status of all entries as one entry sees them.

mod gone;
mod member;
mod refresh;

use crate::{Options, options::MAX_QUERIED, rendezvous};
use gone::Gone;
use member::Member;
use rustc_hash::{FxHashMap, FxHashSet};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home},
    unit::Time,
};
use std::collections::BTreeMap;

/// Status of a home as one entry sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Status {
    /// Messages from it arrive.
    Live,
    /// Messages from it arrive, and it admits no more submissions.
    Draining,
    /// No messages from it arrive, or it is unknown. It may still run.
    Unreachable,
    /// It has ended, or is treated as ended permanently.
    Gone,
}

/// The status of all entries as one entry sees them.
///
/// Methods that take `now` must be called with times that do not decrease. Methods that return a
/// `bool` return whether [`View::live`] changed for any data centre.
#[derive(Debug)]
pub struct View {
    own: Home,
    options: Options,
    /// The latest time that was passed to a method.
    now: Time,
    /// Whether the own entry admits no more submissions.
    draining: bool,
    /// Peers that are not gone, at most [`crate::options::MAX_MEMBERS`]. Never includes `own`.
    members: FxHashMap<Home, Member>,
    gone: Gone,
    /// Entries whose VM is missing from the platform's latest list.
    missing_vms: FxHashSet<EntryId>,
    /// Peers of other data centres to exchange heartbeats with. Derived from `members`.
    links: FxHashSet<Home>,
    /// Whether `links` is out of date.
    links_stale: bool,
    /// When each unknown home was first queried.
    queried: FxHashMap<Home, Time>,
    /// Live homes by data centre, each list sorted and not empty. Derived from `members`.
    live: BTreeMap<DataCentreId, Vec<Home>>,
    next_heartbeat: Time,
    /// No status changes before this time without an event.
    next_check: Time,
}

impl View {
    /// Creates a view that knows only the own entry.
    pub fn new(own: Home, options: Options) -> Self {
        Self {
            own,
            options,
            now: Time(0),
            draining: false,
            members: FxHashMap::default(),
            gone: Gone::default(),
            missing_vms: FxHashSet::default(),
            links: FxHashSet::default(),
            links_stale: false,
            queried: FxHashMap::default(),
            live: BTreeMap::from([(own.data_centre, vec![own])]),
            next_heartbeat: Time(0),
            next_check: Time::NEVER,
        }
    }

    /// Records an authenticated message of `peer`.
    ///
    /// `draining` says that the peer admits no more submissions. It is never unset, so `false` may
    /// be passed for messages without that information. For the own home it starts its drain.
    pub fn record_contact(&mut self, now: Time, peer: Home, draining: bool) -> bool {
        self.advance(now);
        if peer == self.own {
            return draining && self.drain();
        }
        let options = self.options.clone();
        let Some(member) = self.member(peer) else { return false };
        let returned = member.record_contact(now, &options);
        let began_draining = draining && !member.draining;
        member.draining |= draining;
        (returned || began_draining) && self.refresh()
    }

    /// Records a new authenticated connection to `peer`.
    pub fn connected(&mut self, now: Time, peer: Home) -> bool {
        let changed = self.record_contact(now, peer, false);
        if let Some(member) = self.members.get_mut(&peer) {
            member.connected = true;
        }
        changed
    }

    /// Records that the connection to `peer` was lost or could not be made.
    ///
    /// An entry that exchanges heartbeats stays live until [`Options::suspect_after`] has passed,
    /// since a new connection may follow at once.
    pub fn disconnected(&mut self, now: Time, peer: Home) -> bool {
        self.advance(now);
        let Some(member) = self.members.get_mut(&peer) else { return false };
        member.connected = false;
        member.failed = true;
        self.refresh()
    }

    /// Records the entries registered with the platform. This list lags.
    pub fn registered(&mut self, now: Time, entries: &[Home]) -> bool {
        self.advance(now);
        self.members.values_mut().for_each(|member| member.registered = false);
        for home in entries {
            if let Some(member) = self.member(*home) {
                member.registered = true;
            }
        }
        self.refresh()
    }

    /// Records the entries whose VM is missing from the platform's list; replaces the previous set.
    ///
    /// An entry in `gone` stays live while messages from it arrive, since the platform's list lags.
    pub fn vms_missing(&mut self, gone: &[EntryId]) -> bool {
        self.missing_vms = gone.iter().copied().collect();
        self.refresh()
    }

    /// Records that the own entry admits no more submissions.
    pub fn drain(&mut self) -> bool {
        self.draining = true;
        self.refresh()
    }

    /// Records a query for `home` and returns its status; see [`View::status`].
    pub fn query(&mut self, now: Time, home: Home) -> Status {
        let known = home == self.own || self.gone.contains(home);
        if !known && !self.members.contains_key(&home) {
            if self.queried.len() >= MAX_QUERIED {
                self.queried.clear();
            }
            self.queried.entry(home).or_insert(now);
        }
        self.status(now, home)
    }

    /// Returns the status of `home` at `now`. Unknown homes are unreachable, unless their VM is
    /// gone or a message of another process of their entry arrived at least
    /// [`Options::suspect_after`] after the first [`View::query`] for them.
    pub fn status(&self, now: Time, home: Home) -> Status {
        if home == self.own {
            return if self.draining { Status::Draining } else { Status::Live };
        }
        if self.gone.contains(home) {
            return Status::Gone;
        }
        let now = self.settled(now);
        match self.members.get(&home) {
            Some(member) => self.member_status(now, home, member),
            None if self.is_replaced(now, home) => Status::Gone,
            None => Status::Unreachable,
        }
    }

    /// Returns the live homes of a data centre, sorted, including the own entry. Draining homes and
    /// those in hold-down after repeated timeouts are left out.
    pub fn live(&self, data_centre: DataCentreId) -> &[Home] {
        self.live.get(&data_centre).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all known peers, including those that are gone, in no order.
    pub fn peers(&self) -> impl Iterator<Item = (Home, Status)> {
        let known =
            self.members.iter().map(|(home, m)| (*home, self.member_status(self.now, *home, m)));
        known.chain(self.gone.iter().map(|home| (home, Status::Gone)))
    }

    /// Returns the live home of `data_centre` that keeps `endpoint`; `None` if there is no live
    /// home.
    pub fn keeper(&self, endpoint: EndpointId, data_centre: DataCentreId) -> Option<Home> {
        Self::keeper_among(self.live(data_centre), endpoint)
    }

    /// Returns the home among `homes` that keeps `endpoint`; `None` without homes.
    pub fn keeper_among(homes: &[Home], endpoint: EndpointId) -> Option<Home> {
        rendezvous::keeper(homes, endpoint)
    }

    /// Returns the peers to send a heartbeat to now, sorted; empty when none is due. Each call that
    /// returns peers starts the next interval.
    ///
    /// These are all peers of the own data centre and a few of each other one, see
    /// [`rendezvous::heartbeat_pairs`]. Unresponsive peers are included, so that the view notices
    /// when they respond again.
    pub fn due_heartbeats(&mut self, now: Time) -> Vec<Home> {
        self.advance(now);
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + self.options.interval;
        self.update_links();
        let mut due: Vec<_> =
            self.members.keys().copied().filter(|home| self.exchanges_heartbeats(*home)).collect();
        due.sort_unstable();
        due
    }

    /// Advances the time, and updates statuses if any is due to change.
    pub fn tick(&mut self, now: Time) -> bool {
        self.advance(now);
        now >= self.next_check && self.refresh()
    }

    /// Returns when [`View::tick`] and [`View::due_heartbeats`] must both be called next.
    pub fn next_timer(&self) -> Time {
        self.next_heartbeat.min(self.next_check)
    }
}
