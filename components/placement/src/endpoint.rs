//! Endpoints as an entry sees them, and the distribution of a job over racks.

use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, RackId},
    unit::Resources,
};

/// The part of an endpoint's capacity that an entry may use: its own share or a borrowed one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// The rack that it is mounted in. Executors may share one rack.
    pub rack: RackId,
    /// Whether it is in another data centre than the entry.
    pub remote: bool,
    /// Capacity that the entry may use. An endpoint without cores and memory is an executor.
    pub capacity: Resources,
}

/// Number of a job's running tasks on each rack.
#[derive(Clone, Debug, Default)]
pub struct RackCounts {
    /// Counts of the racks with at least one task.
    racks: FxHashMap<RackId, u32>,
}

impl RackCounts {
    /// Counts a task that was placed on `rack`.
    pub fn add(&mut self, rack: RackId) {
        *self.racks.entry(rack).or_default() += 1;
    }

    /// Uncounts a task that was placed on `rack`.
    pub fn remove(&mut self, rack: RackId) {
        let Some(count) = self.racks.get_mut(&rack) else { return };
        *count -= 1;
        if *count == 0 {
            self.racks.remove(&rack);
        }
    }

    /// Returns the number of tasks on `rack`.
    pub fn count(&self, rack: RackId) -> u32 {
        self.racks.get(&rack).copied().unwrap_or(0)
    }
}
