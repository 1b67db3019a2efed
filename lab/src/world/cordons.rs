//! Data centres under cordon: who is told, and what may still be started there.

use super::{Step, World};
use runs::{Cordon, Event};
use site::{
    id::DataCentreId,
    unit::{Revision, Time},
};

/// How long after a cordon was written a task may still be started under it. A fifth of what
/// operators are promised, so that the first way of telling an entry may fail.
const HEED_US: u64 = 1_000_000;

/// An entry that stood still knows what was written meanwhile this long after it woke.
const WAKE_US: u64 = 4_000_000;

impl World {
    pub(super) fn set_cordon(&mut self, data_centre: usize, is_on: bool) {
        match is_on {
            true => self.cordons.entry(data_centre).or_insert(self.now).0,
            false => self.cordons.remove(&data_centre).unwrap_or_default().0,
        };
        self.revision += 1;
        self.tell_cordons();
    }

    /// What the store says now.
    pub(super) fn cordoned(&self) -> Event {
        let data_centres = self.cordons.keys().map(|index| DataCentreId(*index as u64));
        Event::Cordoned(Cordon::new(Revision(self.revision), data_centres))
    }

    pub(super) fn tell_cordons(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].blind_until <= self.now {
                let incarnation = self.nodes[node].home.incarnation;
                self.after(5_000, Step::Feed(node, incarnation, self.cordoned()));
            }
        }
    }

    /// Checks a task that an entry has just started at an executor.
    pub(super) fn check_cordon(&self, node: usize, slot: usize) {
        let data_centre = self.plan.zone_of_executor(slot);
        let Some(since) = self.cordons.get(&data_centre) else { return };
        let woke = self.nodes[node].frozen_until;
        let is_awake = woke == Time(0) || self.now.0 > woke.0 + WAKE_US;
        let allowed = self.now.0 <= since.0 + HEED_US;
        assert!(
            allowed || !is_awake,
            "at {}: entry {node} starts a task in data centre {data_centre}, under cordon since {since}",
            self.now
        );
    }
}
