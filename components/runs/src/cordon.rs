//! Data centres whose executors get no new work by order of the operator.

use serde::{Deserialize, Serialize};
use site::{id::DataCentreId, unit::Revision};

/// The data centres under cordon at one revision of the platform's store.
///
/// Tasks that run in one of them continue; none is started there until the cordon is lifted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Cordon {
    /// The store's revision at which it was read. A cordon read at a higher revision supersedes it,
    /// whichever entry read it.
    pub revision: Revision,
    /// The data centres, sorted and without duplicates.
    data_centres: Vec<DataCentreId>,
}

impl Cordon {
    /// Creates a cordon of `data_centres` as read from the store at `revision`.
    pub fn new(revision: Revision, data_centres: impl IntoIterator<Item = DataCentreId>) -> Self {
        let mut data_centres: Vec<_> = data_centres.into_iter().collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        Self { revision, data_centres }
    }

    /// The data centres, sorted.
    pub fn data_centres(&self) -> &[DataCentreId] {
        &self.data_centres
    }

    /// Whether executors of a data centre must get no new work.
    pub fn covers(&self, data_centre: DataCentreId) -> bool {
        self.data_centres.contains(&data_centre)
    }

    /// Whether both cover the same data centres.
    pub fn matches(&self, other: &Cordon) -> bool {
        self.data_centres == other.data_centres
    }

    /// Replaces this cordon by a later one and returns whether the data centres differ. An earlier
    /// one, which another entry may still hold, is ignored.
    pub(crate) fn supersede(&mut self, later: Cordon) -> bool {
        if later.revision <= self.revision {
            return false;
        }
        let differs = !self.matches(&later);
        *self = later;
        differs
    }
}
