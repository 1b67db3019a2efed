//! Other entries: who they are, and what changes with them.

use super::{Entry, roles::Roles};
use crate::{Action, Decision, Message, message::Heartbeat, pool::Members};
use membership::{Status, View};
use site::{
    id::{EndpointId, EntryId, Home, Token},
    unit::Time,
};

/// Most peers whose epochs are remembered.
const MAX_PEER_EPOCHS: usize = 1_024;

/// Most homes that a heartbeat names.
const MAX_HEARTBEAT_TABLES: usize = 64;

impl Entry {
    /// The token that callers make identifiers with now: that of an entry that places tasks.
    pub fn token(&self) -> Token {
        let roles = self.roles.read();
        if roles.leads.contains(&self.home) || self.is_draining() {
            return self.own_token();
        }
        let place = EndpointId(self.home.entry.0);
        let lead = View::keeper_among(&roles.leads, place);
        let token = lead.and_then(|home| Some(Token { home, epoch: *roles.epochs.get(&home)? }));
        token.unwrap_or_else(|| self.own_token())
    }

    /// The entry of the cluster that runs what has lost its home; the same for all that agree on
    /// who is live.
    pub(super) fn substitute_for(&self, place: EndpointId) -> Option<Home> {
        View::keeper_among(&self.roles.read().near, place)
    }

    /// Entries that place tasks in this entry's cluster, as it sees them.
    pub fn leads(&self) -> Vec<Home> {
        self.roles.read().leads.clone()
    }

    /// Any message is a sign of life.
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

    /// Takes notice of a sign of life and what it says.
    pub(super) fn receive_heartbeat(&self, from: Home, beat: &Heartbeat, out: &mut Vec<Action>) {
        self.roles.write().epochs.insert(from, beat.epoch);
        // A stopping entry's tables are on their way to another.
        if !beat.draining {
            let mut handovers = self.handovers.lock();
            beat.adopted.iter().for_each(|home| handovers.record_successor(*home, from));
        }
        let have = self.revision();
        if beat.revision > have {
            out.push(Action::Send { to: from, message: Message::SettingsWanted { have } });
        }
    }

    /// A connection came up: what the peer may not have got is sent again.
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

    /// A connection is lost.
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

    /// Takes notice of the entries registered with the platform.
    pub(super) fn registry(&self, now: Time, entries: &[Home], out: &mut Vec<Action>) {
        let changed = self.members.lock().registered(now, entries);
        self.apply_changes(now, changed, out);
    }

    /// Takes notice of the platform's list of VMs.
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

    /// Moves on what waits for homes that are gone.
    fn reroute_gone(&self, now: Time, out: &mut Vec<Action>) {
        for home in self.routed_homes() {
            let status = self.members.lock().status(now, home);
            if status == Status::Gone || self.handovers.lock().successor(home).is_some() {
                self.reroute(now, home, out);
            }
        }
    }

    /// Has every pool take over who the members are.
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

    /// Sends the heartbeats that are due, and notices changes that nothing told of.
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

    /// Peers besides the membership's own: the entries that place tasks and all others near them
    /// hear from each other.
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
