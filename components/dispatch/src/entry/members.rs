//! Other entries: who they are, and what changes with them.

use super::{Entry, roles::Roles};
use crate::{Action, Decision, Message, message::Heartbeat, pool::Members};
use membership::{Status, View};
use site::{
    id::{EndpointId, EntryId, Home, Token},
    unit::Time,
};

/// Most peers whose epochs are remembered.
const MAX_EPOCHS: usize = 1_024;

/// Most homes that a heartbeat names.
const MAX_ADOPTED: usize = 64;

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
    pub(super) fn runner(&self, place: EndpointId) -> Option<Home> {
        View::keeper_among(&self.roles.read().near, place)
    }

    /// Entries that place tasks in this entry's cluster, as it sees them.
    pub fn leads(&self) -> Vec<Home> {
        self.roles.read().leads.clone()
    }

    /// Any message is a sign of life.
    pub(super) fn hear(&self, now: Time, from: Home, message: &Message, out: &mut Vec<Action>) {
        let draining = matches!(message, Message::Heartbeat(beat) if beat.draining);
        let changed = self.members.lock().record_contact(now, from, draining);
        if changed {
            self.rekey(now, out);
        }
        if changed && draining {
            self.hand_over_again(now, from, out);
        }
    }

    /// Takes notice of a sign of life and what it says.
    pub(super) fn heartbeat(&self, from: Home, beat: &Heartbeat, out: &mut Vec<Action>) {
        self.roles.write().epochs.insert(from, beat.epoch);
        // A stopping entry's tables are on their way to another.
        if !beat.draining {
            let mut moves = self.moves.lock();
            beat.adopted.iter().for_each(|home| moves.moved(*home, from));
        }
        let have = self.revision();
        if beat.revision > have {
            out.push(Action::Send { to: from, message: Message::SettingsWanted { have } });
        }
    }

    /// A connection came up: what the peer may not have got is sent again.
    pub(super) fn peer_up(&self, now: Time, peer: Home, out: &mut Vec<Action>) {
        self.members.lock().connected(now, peer);
        self.rekey(now, out);
        for pool in self.all_pools() {
            pool.lock().peer_up(peer, out);
        }
        out.push(Action::Send { to: peer, message: self.sign_of_life() });
        self.reroute(now, peer, out);
        self.hand_over_again(now, peer, out);
    }

    /// A connection is lost.
    pub(super) fn peer_down(&self, now: Time, peer: Home, out: &mut Vec<Action>) {
        let changed = self.members.lock().disconnected(now, peer);
        for pool in self.all_pools() {
            pool.lock().peer_down(now, peer, out);
        }
        if changed {
            self.rekey(now, out);
        }
        self.hand_over_again(now, peer, out);
        self.arm_members();
    }

    /// Takes notice of the entries registered with the platform.
    pub(super) fn registry(&self, now: Time, entries: &[Home], out: &mut Vec<Action>) {
        let changed = self.members.lock().registered(now, entries);
        self.after_change(now, changed, out);
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
        let changed = self.members.lock().vms_missing(gone);
        self.after_change(now, changed, out);
    }

    pub(super) fn after_change(&self, now: Time, changed: bool, out: &mut Vec<Action>) {
        if changed {
            self.rekey(now, out);
        }
        self.reroute_gone(now, out);
        self.arm_members();
    }

    /// Moves on what waits for homes that are gone.
    fn reroute_gone(&self, now: Time, out: &mut Vec<Action>) {
        for home in self.routed_homes() {
            let status = self.members.lock().status(now, home);
            if status == Status::Gone || self.moves.lock().successor(home).is_some() {
                self.reroute(now, home, out);
            }
        }
    }

    /// Has every pool take over who the members are.
    pub(super) fn rekey(&self, now: Time, out: &mut Vec<Action>) {
        let _one_at_a_time = self.reshaping.lock();
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
            pool.rekey(now, &members, out);
            self.arm(pool.next_timer());
        }
        let mut current = self.roles.write();
        let mut epochs = std::mem::take(&mut current.epochs);
        if epochs.len() > MAX_EPOCHS {
            epochs.retain(|home, _| roles.near.contains(home));
        }
        *current = Roles { epochs, ..roles };
    }

    /// Sends the heartbeats that are due, and notices changes that nothing told of.
    pub(super) fn beat(&self, now: Time, out: &mut Vec<Action>) {
        let mut due = self.members.lock().due_heartbeats(now);
        if due.is_empty() {
            return;
        }
        let roles = Roles::new(&self.members.lock(), &self.index(), self.home);
        if !self.roles.read().is_same(&roles) {
            self.rekey(now, out);
        }
        due.extend(self.watched());
        due.sort_unstable();
        due.dedup();
        let message = self.sign_of_life();
        for to in due {
            out.push(Action::Send { to, message: message.clone() });
        }
    }

    /// Peers besides the membership's own: the entries that place tasks and all others near them
    /// hear from each other.
    fn watched(&self) -> Vec<Home> {
        let roles = self.roles.read();
        let watched = match roles.leads.contains(&self.home) {
            true => &roles.near,
            false => &roles.leads,
        };
        watched.iter().copied().filter(|home| *home != self.home).collect()
    }

    pub(super) fn sign_of_life(&self) -> Message {
        let adopted = self.moves.lock().adopted(MAX_ADOPTED);
        let draining = self.is_draining();
        let (revision, epoch) = (self.revision(), self.own_token().epoch);
        Message::Heartbeat(Heartbeat { revision, epoch, draining, adopted })
    }

    pub(super) fn arm_members(&self) {
        let due = self.members.lock().next_timer();
        self.arm(due);
    }
}
