//! Derives the status of members and the live lists of a [`View`].

use super::{Member, Status, View};
use crate::{options::MAX_MEMBERS, rendezvous};
use site::{
    id::{DataCentreId, Home},
    unit::Time,
};
use std::{collections::BTreeMap, mem};

impl View {
    /// Returns the member for `home`, and inserts it if it is new. `None` for the own home, for a
    /// home that is gone, and when [`MAX_MEMBERS`] are known.
    pub(super) fn member(&mut self, home: Home) -> Option<&mut Member> {
        if home == self.own || self.gone.contains(home) {
            return None;
        }
        if !self.members.contains_key(&home) {
            if self.members.len() >= MAX_MEMBERS {
                return None;
            }
            self.members.insert(home, Member::new(self.now));
            self.links_stale = true;
        }
        self.members.get_mut(&home)
    }

    /// Moves time forward. A jump means that the own process was paused and could receive no
    /// messages meanwhile, so the timeout of peers that were alive before it starts again.
    pub(super) fn advance(&mut self, now: Time) {
        let paused = now.since(self.now) > self.options.suspect_after;
        if paused {
            self.members.values_mut().filter(|m| m.alive).for_each(|m| m.last_contact = Some(now));
        }
        self.now = self.now.max(now);
    }

    /// Returns the time up to which timeouts are measured: `now`, unless the own process was paused
    /// and [`View::advance`] has not run since.
    pub(super) fn settled(&self, now: Time) -> Time {
        let paused = now.since(self.now) > self.options.suspect_after;
        if paused { self.now } else { now }
    }

    /// Recomputes all derived state for the current time. Returns whether the live members changed.
    pub(super) fn refresh(&mut self) -> bool {
        self.mark_unresponsive_members();
        self.remove_ended();
        self.remove_stale();
        self.update_links();
        self.next_check = self.earliest_change();
        let live = self.list_live();
        let former = mem::replace(&mut self.live, live);
        former != self.live
    }

    pub(super) fn update_links(&mut self) {
        if !mem::take(&mut self.links_stale) {
            return;
        }
        let mut known = BTreeMap::<DataCentreId, Vec<Home>>::new();
        for home in self.members.keys().chain([&self.own]) {
            known.entry(home.data_centre).or_default().push(*home);
        }
        let ours = known.remove(&self.own.data_centre).unwrap_or_default();
        self.links = known
            .values()
            .flat_map(|theirs| rendezvous::heartbeat_pairs(&ours, theirs))
            .filter_map(|(ours, theirs)| (ours == self.own).then_some(theirs))
            .collect();
    }

    pub(super) fn exchanges_heartbeats(&self, home: Home) -> bool {
        home.data_centre == self.own.data_centre || self.links.contains(&home)
    }

    pub(super) fn member_status(&self, now: Time, home: Home, member: &Member) -> Status {
        let alive =
            !member.is_unresponsive(now, &self.options) || self.is_presumed_live(now, home, member);
        match (alive, member.draining) {
            (true, false) => Status::Live,
            (true, true) => Status::Draining,
            (false, _) => Status::Unreachable,
        }
    }

    /// Returns whether an unknown home has been replaced by another process of its entry, or has
    /// lost its VM.
    ///
    /// An unknown home may be the newer of two processes. So a message of the other one must have
    /// arrived at least `suspect_after` after the first query for the home: a newer process would
    /// have become known by then.
    pub(super) fn is_replaced(&self, now: Time, home: Home) -> bool {
        if self.missing_vms.contains(&home.entry) {
            return true;
        }
        let Some(queried) = self.queried.get(&home) else {
            return false;
        };
        let known_by = *queried + self.options.suspect_after;
        let later = |m: &Member| !m.draining && m.last_contact >= Some(known_by);
        (home.entry == self.own.entry && now >= known_by)
            || self.members.iter().any(|(other, m)| other.entry == home.entry && later(m))
    }

    /// Returns whether a home that exchanges no heartbeats with this one is presumed live.
    fn is_presumed_live(&self, now: Time, home: Home, member: &Member) -> bool {
        let no_heartbeats = !self.exchanges_heartbeats(home);
        let plausible = (member.registered || member.connected) && !member.failed;
        no_heartbeats && plausible && self.is_data_centre_alive(now, home.data_centre)
    }

    fn is_data_centre_alive(&self, now: Time, data_centre: DataCentreId) -> bool {
        let alive = |m: &Member| !m.is_unresponsive(now, &self.options);
        self.members.iter().any(|(home, m)| home.data_centre == data_centre && alive(m))
    }

    fn mark_unresponsive_members(&mut self) {
        let unresponsive: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| m.alive && m.is_unresponsive(self.now, &self.options))
            .map(|(home, m)| (*home, self.is_presumed_live(self.now, *home, m)))
            .collect();
        for (home, presumed) in unresponsive {
            let Some(member) = self.members.get_mut(&home) else { continue };
            match presumed {
                true => member.mark_unresponsive(),
                false => member.record_flap(self.now, &self.options),
            }
        }
    }

    /// Moves the members that have ended to `gone`.
    fn remove_ended(&mut self) {
        let ended: Vec<_> = self
            .members
            .iter()
            .filter(|(home, member)| self.has_ended(**home, member))
            .map(|(home, _)| *home)
            .collect();
        for home in ended {
            self.members.remove(&home);
            self.gone.insert(home);
            self.links_stale = true;
        }
    }

    fn has_ended(&self, home: Home, member: &Member) -> bool {
        if !member.is_unresponsive(self.now, &self.options) {
            return false;
        }
        self.missing_vms.contains(&home.entry) || self.is_superseded(home, member)
    }

    /// Returns whether a message of another process of the entry arrived while this one was
    /// unresponsive. A process without any message may be the newer of the two, and a draining one
    /// may be the older.
    ///
    /// An unresponsive process of the own entry can't be newer: it would have taken over this one's
    /// addresses and registration.
    fn is_superseded(&self, home: Home, member: &Member) -> bool {
        if member.connected {
            return false;
        }
        let since = member.last_contact_or_known_since() + self.options.suspect_after;
        if home.entry == self.own.entry {
            return self.now >= since;
        }
        let other = |(other, m): (&Home, &Member)| {
            other.entry == home.entry
                && *other != home
                && !m.draining
                && m.last_contact >= Some(since)
        };
        member.last_contact.is_some() && self.members.iter().any(other)
    }

    /// Removes members without connection and registration whose last message is older than
    /// `forget_after`. Unknown homes are never live, so this makes none live again.
    fn remove_stale(&mut self) {
        let (now, span) = (self.now, self.options.forget_after);
        let before = self.members.len();
        self.members.retain(|_, m| {
            m.registered || m.connected || now.since(m.last_contact_or_known_since()) < span
        });
        self.links_stale |= self.members.len() != before;
    }

    fn list_live(&self) -> BTreeMap<DataCentreId, Vec<Home>> {
        let mut live = BTreeMap::<DataCentreId, Vec<Home>>::new();
        let is_live = |(home, m): &(&Home, &Member)| {
            !m.is_held_down() && self.member_status(self.now, **home, m) == Status::Live
        };
        let peers = self.members.iter().filter(is_live).map(|(home, _)| *home);
        let own = (!self.draining).then_some(self.own);
        for home in peers.chain(own) {
            live.entry(home.data_centre).or_default().push(home);
        }
        live.values_mut().for_each(|homes| homes.sort_unstable());
        live
    }

    /// Returns the earliest time at which a status changes without any event.
    fn earliest_change(&self) -> Time {
        let timeouts =
            self.members.values().filter(|m| m.alive).map(|m| m.unresponsive_at(&self.options));
        let own = self.members.iter().filter(|(home, _)| home.entry == self.own.entry);
        let supersessions =
            own.map(|(_, m)| m.last_contact_or_known_since() + self.options.suspect_after);
        timeouts.chain(supersessions).filter(|at| *at > self.now).min().unwrap_or(Time::NEVER)
    }
}
