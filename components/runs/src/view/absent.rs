//! Data centres all of whose entries went away.
//!
//! A data centre that is cut off serves on by itself, and its executors are back together with its entries.
//! Whoever took them over meanwhile would end what runs there. Only executors that are heard of without
//! their entries are left alone for good.

use rustc_hash::FxHashMap;
use site::{
    id::DataCentreId,
    unit::{Span, Time},
};

/// Data centres whose entries may come back.
#[derive(Debug, Default)]
pub(super) struct Absent {
    /// When an executor of each was first heard of since.
    heard: FxHashMap<DataCentreId, Option<Time>>,
}

impl Absent {
    pub(super) fn contains(&self, data_centre: DataCentreId) -> bool {
        self.heard.contains_key(&data_centre)
    }

    /// The entries of a data centre are gone.
    pub(super) fn insert(&mut self, data_centre: DataCentreId) {
        self.heard.entry(data_centre).or_default();
    }

    /// Some entry of a data centre is there.
    pub(super) fn remove(&mut self, data_centre: DataCentreId) {
        self.heard.remove(&data_centre);
    }

    /// Executors of a data centre were heard of.
    pub(super) fn hear(&mut self, now: Time, data_centre: DataCentreId) {
        if let Some(heard) = self.heard.get_mut(&data_centre) {
            heard.get_or_insert(now);
        }
    }

    /// Gives up on entries that were not back this long after their executors; returns whether there
    /// were any.
    pub(super) fn give_up(&mut self, now: Time, patience: Span) -> bool {
        let before = self.heard.len();
        self.heard.retain(|_, heard| heard.is_none_or(|at| now.since(at) < patience));
        self.heard.len() < before
    }
}
