//! Data centres whose entries are all absent.
//!
//! A data centre that is cut off continues on its own, and its executors return together with its
//! entries. Taking its executors over meanwhile would end what runs there. Executors are taken over
//! only if they renew their registrations and their entries stay absent.

use rustc_hash::FxHashMap;
use site::{
    id::DataCentreId,
    unit::{Span, Time},
};

/// Data centres whose entries are absent and may return.
#[derive(Debug, Default)]
pub(super) struct Absent {
    /// For each, when its executors first renewed their registrations during the absence; `None`
    /// before that.
    first_renewals: FxHashMap<DataCentreId, Option<Time>>,
}

impl Absent {
    pub(super) fn contains(&self, data_centre: DataCentreId) -> bool {
        self.first_renewals.contains_key(&data_centre)
    }

    /// Records that all entries of a data centre are gone.
    pub(super) fn insert(&mut self, data_centre: DataCentreId) {
        self.first_renewals.entry(data_centre).or_default();
    }

    /// Records that an entry of a data centre is present.
    pub(super) fn remove(&mut self, data_centre: DataCentreId) {
        self.first_renewals.remove(&data_centre);
    }

    /// Records that executors of a data centre renewed their registrations.
    pub(super) fn record_renewal(&mut self, now: Time, data_centre: DataCentreId) {
        if let Some(first_renewal) = self.first_renewals.get_mut(&data_centre) {
            first_renewal.get_or_insert(now);
        }
    }

    /// Drops the data centres whose entries have not returned within `patience` after their
    /// executors; returns whether there were any.
    pub(super) fn give_up(&mut self, now: Time, patience: Span) -> bool {
        let before = self.first_renewals.len();
        self.first_renewals
            .retain(|_, first_renewal| first_renewal.is_none_or(|at| now.since(at) < patience));
        self.first_renewals.len() < before
    }
}
