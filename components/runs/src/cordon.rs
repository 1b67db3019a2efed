//! Data centres whose executors get no new work because an operator has said so.

use serde::{Deserialize, Serialize};
use site::{id::DataCentreId, unit::Revision};

/// The data centres under cordon at one revision of the platform's store.
///
/// Tasks that run in one of them go on; none is started there until the cordon is lifted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Cordon {
    /// The revision at which this held. What was read at a higher one supersedes it, whoever read
    /// it.
    pub revision: Revision,
    /// The data centres, sorted, each once.
    data_centres: Vec<DataCentreId>,
}

impl Cordon {
    /// A cordon around `data_centres`, as read from the store at `revision`.
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

    /// Whether it is around the same data centres as another one.
    pub fn matches(&self, other: &Cordon) -> bool {
        self.data_centres == other.data_centres
    }

    /// Takes a later one's place; returns whether the data centres differ. An earlier one, which
    /// another entry may still believe, changes nothing.
    pub(crate) fn supersede(&mut self, later: Cordon) -> bool {
        if later.revision <= self.revision {
            return false;
        }
        let differs = !self.matches(&later);
        *self = later;
        differs
    }
}
