//! Tracks the other entries and applies changes of members to roles and pools.

use super::{Entry, roles::Roles};
use crate::{Action, Decision, Message, message::Heartbeat, pool::Members};
use membership::{Status, View};
use site::{
    id::{EndpointId, EntryId, Home, Token},
    unit::Time,
};

/// Maximum number of peers whose epochs are remembered.
const MAX_PEER_EPOCHS: usize = 1_024;

/// Maximum number of homes in a heartbeat's list of adopted tables.
const MAX_HEARTBEAT_TABLES: usize = 64;

impl Entry {
    /// Returns the token with which callers should make identifiers now: that of a lead entry.
    pub fn token(&self) -> Token {
        let roles = self.roles.read();
        if roles.leads.contains(&self.home) || self.is_draining() {
            return self.own_token();
        }
        let hash_key = EndpointId(self.home.entry.0);
        let lead = View::keeper_among(&roles.leads, hash_key);
        let token = lead.and_then(|home| Some(Token { home, epoch: *roles.epochs.get(&home)? }));
        token.unwrap_or_else(|| self.own_token())
    }

    /// Returns the entry of the cluster that runs a request whose home is gone. It is the same for
    /// all entries that agree on who is live.
    pub(super) fn substitute_for(&self, hash_key: EndpointId) -> Option<Home> {
        View::keeper_among(&self.roles.read().near, hash_key)
    }

    /// Returns the lead entries of this entry's cluster, as it sees them.
    pub fn leads(&self) -> Vec<Home> {
        self.roles.read().leads.clone()
    }

    /// Records contact with a peer; any message proves that it is live.
    pub(super) fn record_contact(
        &self,
        now: Time,
        from: Home,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        let draining = matches!(message, Message::Heartbeat(beat) if beat.draining);
        let changed = self.members.lock().hear(now, from, draining);
        if changed {
            self.update_members(now, out);
        }
        if changed && draining {
            self.restart_handover(now, from, out);
        }
    }

    /// Handles the content of a heartbeat.
    pub(super) fn receive_heartbeat(&self, from: Home, beat: &Heartbeat, out: &mut Vec<Action>) {
        self.roles.write().epochs.insert(from, beat.epoch);
        // The tables of a draining entry are being handed over to another one.
        if !beat.draining {
            let mut handovers = self.handovers.lock();
            beat.adopted.iter().for_each(|home| handovers.record_successor(*home, from));
        }
        let have = self.revision();
        if beat.revision > have {
            out.push(Action::Send { to: from, message: Message::SettingsWanted { have } });
        }
    }

    /// Handles a new connection: sends everything again that the peer may not have received.
    pub(super) fn peer_up(&self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.members.lock().connected(now, peer);
        self.update_members(now, out);
        for pool in self.all_pools() {
            pool.lock().peer_up(peer, out);
        }
        out.push(Action::Send { to: peer, message: self.heartbeat_message() });
        self.reroute(now, peer, out);
        self.restart_handover(now, peer, out);
    }

    /// Handles the loss of a connection.
    pub(super) fn peer_down(&self, now: Time, peer: Home, out: &mut Vec<Action>) {
        let changed = self.members.lock().disconnected(now, peer);
        for pool in self.all_pools() {
            pool.lock().peer_down(now, peer, out);
        }
        if changed {
            self.update_members(now, out);
        }
        self.restart_handover(now, peer, out);
        self.schedule_member_tick();
    }

    /// Handles the platform's list of registered entries.
    pub(super) fn registry(&self, now: Time, entries: &[Home], out: &mut Vec<Action>) {
        let changed = self.members.lock().registered(now, entries);
        self.apply_changes(now, changed, out);
    }

    /// Handles the platform's list of VMs.
    pub(super) fn machines(
        &self,
        now: Time,
        gone: &[EntryId],
        leaving: &[EndpointId],
        out: &mut Vec<Action>,
    ) {
        for pool in self.all_pools() {
            pool.lock().list_leaving(now, leaving, out);
        }
        let changed = self.members.lock().machines_gone(gone);
        self.apply_changes(now, changed, out);
    }

    pub(super) fn apply_changes(&self, now: Time, changed: bool, out: &mut Vec<Action>) {
        if changed {
            self.update_members(now, out);
        }
        self.reroute_gone(now, out);
        self.schedule_member_tick();
    }

    /// Reroutes the requests that wait for homes that are gone or have a successor.
    fn reroute_gone(&self, now: Time, out: &mut Vec<Action>) {
        for home in self.forwarded_homes() {
            let status = self.members.lock().status(now, home);
            if status == Status::Gone || self.handovers.lock().successor(home).is_some() {
                self.reroute(now, home, out);
            }
        }
    }

    /// Recomputes the roles and applies them to every pool.
    pub(super) fn update_members(&self, now: Time, out: &mut Vec<Action>) {
        let _one_at_a_time = self.reconfiguring.lock();
        let index = self.index();
        let roles = {
            let members = self.members.lock();
            Roles::new(&members, &index, self.home)
        };
        let live = roles.near.len() as u32;
        let data_centre = self.home.data_centre;
        out.push(Action::Log(Decision::Members { data_centre, live }));
        let keeper = |endpoint, data_centre| match roles.cut_off.contains(&data_centre) {
            true => None,
            false => View::keeper_among(&roles.leads, endpoint),
        };
        let others = |homes: &[Home]| -> Vec<Home> {
            homes.iter().copied().filter(|home| *home != self.home).collect()
        };
        let members = Members {
            keeper: &keeper,
            neighbours: others(&roles.near),
            lenders: others(&roles.leads),
            distant: roles.distant.clone(),
        };
        for pool in self.all_pools() {
            let mut pool = pool.lock();
            pool.apply_members(now, &members, out);
            self.schedule_tick(pool.next_timer());
        }
        let mut current = self.roles.write();
        let mut epochs = std::mem::take(&mut current.epochs);
        if epochs.len() > MAX_PEER_EPOCHS {
            epochs.retain(|home, _| roles.near.contains(home));
        }
        *current = Roles { epochs, ..roles };
    }

    /// Sends the heartbeats that are due, and applies changes of roles that no event reported.
    pub(super) fn send_heartbeats(&self, now: Time, out: &mut Vec<Action>) {
        let mut due = self.members.lock().due_heartbeats(now);
        if due.is_empty() {
            return;
        }
        let roles = Roles::new(&self.members.lock(), &self.index(), self.home);
        if !self.roles.read().is_same(&roles) {
            self.update_members(now, out);
        }
        due.extend(self.role_peers());
        due.sort_unstable();
        due.dedup();
        let message = self.heartbeat_message();
        for to in due {
            out.push(Action::Send { to, message: message.clone() });
        }
    }

    /// Returns the peers that get heartbeats because of their role, besides those that membership
    /// chooses: lead entries exchange heartbeats with all other entries of the cluster.
    fn role_peers(&self) -> Vec<Home> {
        let roles = self.roles.read();
        let watched = match roles.leads.contains(&self.home) {
            true => &roles.near,
            false => &roles.leads,
        };
        watched.iter().copied().filter(|home| *home != self.home).collect()
    }

    pub(super) fn heartbeat_message(&self) -> Message {
        let adopted = self.handovers.lock().held_homes(MAX_HEARTBEAT_TABLES);
        let draining = self.is_draining();
        let (revision, epoch) = (self.revision(), self.own_token().epoch);
        Message::Heartbeat(Heartbeat { revision, epoch, draining, adopted })
    }

    pub(super) fn schedule_member_tick(&self) {
        let due = self.members.lock().next_timer();
        self.schedule_tick(due);
    }
}
