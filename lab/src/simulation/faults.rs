//! Begins and ends faults.

use super::{
    Fault, NETWORK_DELAY_US, PEER_RESPONSE_TIMEOUT_US, PEER_TIMEOUT_US, REGISTRATION_TTL_US,
    Simulation, Step,
};
use runs::Event;
use site::{id::WaiterId, unit::Time};

/// Time from the kill of an entry until it is started again.
const RESTART_US: u64 = 500_000;

impl Simulation {
    pub(super) fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { entry } => self.kill(entry, RESTART_US),
            Fault::Lose { entry, ms } => self.kill(entry, ms * 1_000),
            Fault::Freeze { entry, ms } => {
                let until = Time(self.now.0 + ms * 1_000);
                self.nodes[entry].frozen_until = until;
                self.executors_lose_keeper(entry);
                self.becomes_unresponsive(entry, ms * 1_000);
                if ms * 1_000 > PEER_TIMEOUT_US {
                    let home = self.nodes[entry].home;
                    for node in (0..self.nodes.len()).filter(|node| *node != entry) {
                        self.after(PEER_TIMEOUT_US, Step::LinkDown(node, home));
                        let peer = self.nodes[node].home;
                        self.at(until, Step::LinkDown(entry, peer));
                        self.at(Time(until.0 + 50_000), Step::LinkUp(entry, node));
                    }
                }
            }
            Fault::Cut { entry, ms } => {
                self.nodes[entry].cut_until = Time(self.now.0 + ms * 1_000);
                self.becomes_unresponsive(entry, ms * 1_000);
                if ms * 1_000 > PEER_RESPONSE_TIMEOUT_US {
                    for node in (0..self.nodes.len()).filter(|node| *node != entry) {
                        let peer = self.nodes[node].home;
                        self.after(PEER_RESPONSE_TIMEOUT_US, Step::Unresponsive(entry, peer));
                    }
                }
                if ms * 1_000 > PEER_TIMEOUT_US {
                    let home = self.nodes[entry].home;
                    for node in (0..self.nodes.len()).filter(|node| *node != entry) {
                        let peer = self.nodes[node].home;
                        self.after(PEER_TIMEOUT_US, Step::LinkDown(node, home));
                        self.after(PEER_TIMEOUT_US, Step::LinkDown(entry, peer));
                        self.after(ms * 1_000 + 50_000, Step::LinkUp(entry, node));
                    }
                }
            }
            Fault::CutLink { entry, peer, ms } => self.cut_link(entry, peer, ms),
            Fault::Dark { executor, ms } => {
                self.slots[executor].fake.unresponsive_until = Time(self.now.0 + ms * 1_000);
            }
            Fault::Crash { executor } => self.crash(executor, 500_000),
            Fault::Down { executor, ms } => self.crash(executor, ms * 1_000),
            Fault::Fails { executor, ms } => {
                self.slots[executor].fake.fails = true;
                self.after(ms * 1_000, Step::EndFault(fault));
            }
            Fault::Slow { executor, ms, factor } => {
                self.slots[executor].fake.duration_factor = factor;
                self.after(ms * 1_000, Step::EndFault(fault));
            }
            Fault::Leave { executor } => {
                self.slots[executor].executor.leaving = true;
                self.publish_executors();
            }
            Fault::Drain { entry } => self.handle_event(entry, Event::Drain),
            Fault::Roll { entry } => {
                self.nodes[entry].is_rolled = true;
                self.handle_event(entry, Event::Drain);
            }
            Fault::TurnAway { entry, ms } => {
                self.nodes[entry].turned_away_until = Time(self.now.0 + ms * 1_000);
                let incarnation = self.nodes[entry].home.incarnation;
                self.after(REGISTRATION_TTL_US, Step::ExpireRegistration(entry, incarnation));
                self.after(ms * 1_000, Step::EndFault(fault));
            }
            Fault::Cordon { data_centre, ms } => {
                self.set_cordon(data_centre, true);
                self.after(ms * 1_000, Step::EndFault(fault));
            }
            Fault::Blind { entry, ms } => {
                self.nodes[entry].blind_until = Time(self.now.0 + ms * 1_000);
                self.after(ms * 1_000, Step::EndFault(fault));
            }
            Fault::GiveUp => self.give_up(),
            Fault::Hangs { executor, ms, percent } => {
                self.slots[executor].hang_percent = percent;
                self.after(ms * 1_000, Step::EndFault(fault));
            }
            Fault::CutDataCentre { data_centre, ms } => {
                let is_inside = |node: &usize| self.plan.data_centre_of_entry(*node) == data_centre;
                let (inside, outside): (Vec<_>, Vec<_>) =
                    (0..self.nodes.len()).partition(is_inside);
                for entry in inside {
                    outside.iter().for_each(|peer| self.cut_link(entry, *peer, ms));
                }
            }
        }
    }

    fn cut_link(&mut self, entry: usize, peer: usize, ms: u64) {
        let until = Time(self.now.0 + ms * 1_000);
        self.cut_links.insert((entry.min(peer), entry.max(peer)), until);
        if ms * 1_000 > PEER_RESPONSE_TIMEOUT_US {
            for (node, other) in [(entry, peer), (peer, entry)] {
                let home = self.nodes[other].home;
                self.after(PEER_RESPONSE_TIMEOUT_US, Step::Unresponsive(node, home));
            }
        }
        if ms * 1_000 > PEER_TIMEOUT_US {
            for (node, other) in [(entry, peer), (peer, entry)] {
                let home = self.nodes[other].home;
                self.after(PEER_TIMEOUT_US, Step::LinkDown(node, home));
            }
            self.after(ms * 1_000 + 50_000, Step::LinkUp(entry, peer));
        }
    }

    fn kill(&mut self, entry: usize, restart_us: u64) {
        if self.nodes[entry].entry.take().is_none() {
            return;
        }
        self.executors_lose_keeper(entry);
        let home = self.nodes[entry].home;
        self.disconnect_callers(entry);
        for node in (0..self.nodes.len()).filter(|node| *node != entry) {
            self.after(PEER_TIMEOUT_US, Step::LinkDown(node, home));
        }
        self.becomes_unresponsive(entry, u64::MAX);
        self.links.retain(|(_, to)| *to != home);
        self.after(REGISTRATION_TTL_US, Step::ExpireRegistration(entry, home.incarnation));
        self.after(restart_us, Step::Restart(entry));
    }

    /// All others find that an entry acknowledges nothing, unless it does so again before.
    fn becomes_unresponsive(&mut self, entry: usize, for_us: u64) {
        if for_us <= PEER_RESPONSE_TIMEOUT_US {
            return;
        }
        let home = self.nodes[entry].home;
        for node in (0..self.nodes.len()).filter(|node| *node != entry) {
            self.after(PEER_RESPONSE_TIMEOUT_US, Step::Unresponsive(node, home));
        }
    }

    /// Ends the process of an entry that was stopped by plan, and starts it again later. Its
    /// connections are closed, and its registration is revoked.
    pub(super) fn end_rolled(&mut self, entry: usize) {
        self.nodes[entry].is_rolled = false;
        self.nodes[entry].entry = None;
        self.nodes[entry].listed = false;
        self.disconnect_callers(entry);
        let home = self.nodes[entry].home;
        for node in (0..self.nodes.len()).filter(|node| *node != entry) {
            self.after(NETWORK_DELAY_US, Step::LinkDown(node, home));
        }
        self.links.retain(|(_, to)| *to != home);
        self.publish_members();
        self.after(RESTART_US, Step::Restart(entry));
    }

    /// The store serves an entry again: it registers and learns of what has changed.
    fn serve_again(&mut self, entry: usize) {
        if self.is_turned_away(entry) || !self.is_up(entry) {
            return;
        }
        self.nodes[entry].listed = true;
        self.publish_members();
        self.publish_executors();
    }

    /// Begins to measure how long the executors of an entry are without a keeper.
    fn executors_lose_keeper(&mut self, entry: usize) {
        for (executor, keeper) in &self.keepers {
            if *keeper == entry {
                self.unkept_since.insert(executor.clone(), self.now);
            }
        }
    }

    /// Ends an executor and what runs there; its next incarnation starts after `pause_us`.
    fn crash(&mut self, executor: usize, pause_us: u64) {
        let fake = &mut self.slots[executor].fake;
        fake.up = false;
        fake.running.clear();
        self.after(pause_us, Step::ReplaceExecutor(executor));
    }

    pub(super) fn give_up(&mut self) {
        let open: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, caller)| !caller.answered && !caller.left)
            .map(|(waiter, caller)| (*waiter, caller.node))
            .collect();
        for (waiter, node) in open {
            if let Some(caller) = self.callers.get_mut(&waiter) {
                caller.left = true;
            }
            self.handle_event(node, Event::Leave { waiter: WaiterId(waiter) });
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Fails { executor, .. } => self.slots[executor].fake.fails = false,
            Fault::Slow { executor, .. } => self.slots[executor].fake.duration_factor = 1,
            Fault::Hangs { executor, .. } => self.slots[executor].hang_percent = 0,
            Fault::Cordon { data_centre, .. } => self.set_cordon(data_centre, false),
            Fault::Blind { .. } => self.publish_cordons(),
            Fault::TurnAway { entry, .. } => self.serve_again(entry),
            _ => {}
        }
    }
}
