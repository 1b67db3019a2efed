//! Cordons of data centres: publishes them to entries and checks that they are obeyed.

use super::{Simulation, Step};
use runs::{Cordon, Event};
use site::{
    id::DataCentreId,
    unit::{Revision, Time},
};

/// How long after a cordon was written a task may still be started in its data centre. A fifth of
/// what operators are guaranteed, so that the first way of notifying an entry may fail.
const CORDON_DEADLINE_US: u64 = 1_000_000;

/// How long after the end of a freeze an entry may not know yet what was written meanwhile.
const THAW_GRACE_US: u64 = 4_000_000;

impl Simulation {
    pub(super) fn set_cordon(&mut self, data_centre: usize, is_on: bool) {
        match is_on {
            true => self.cordons.entry(data_centre).or_insert(self.now).0,
            false => self.cordons.remove(&data_centre).unwrap_or_default().0,
        };
        self.revision += 1;
        self.publish_cordons();
    }

    /// Returns the cordons that the store holds now.
    pub(super) fn cordoned(&self) -> Event {
        let data_centres = self.cordons.keys().map(|index| DataCentreId(*index as u64));
        Event::Cordoned(Cordon::new(Revision(self.revision), data_centres))
    }

    pub(super) fn publish_cordons(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].blind_until <= self.now {
                let incarnation = self.nodes[node].home.incarnation;
                self.after(5_000, Step::HandleEvent(node, incarnation, self.cordoned()));
            }
        }
    }

    /// Checks that a task that an entry has just started at an executor is allowed by the cordons.
    pub(super) fn check_cordon(&self, node: usize, slot: usize) {
        let data_centre = self.plan.data_centre_of_executor(slot);
        let Some(since) = self.cordons.get(&data_centre) else { return };
        let thawed = self.nodes[node].frozen_until;
        let is_up_to_date = thawed == Time(0) || self.now.0 > thawed.0 + THAW_GRACE_US;
        let allowed = self.now.0 <= since.0 + CORDON_DEADLINE_US;
        assert!(
            allowed || !is_up_to_date,
            "at {}: entry {node} starts a task in data centre {data_centre}, under cordon since {since}",
            self.now
        );
    }
}
