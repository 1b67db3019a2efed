//! The firm, crew and job that a queued task belongs to.

use site::id::{CrewId, FirmId};

/// Identifies a job while any of its tasks is queued. Assigned by the caller.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey(pub u64);

/// The firm, crew and job of a task. A job belongs to one crew of one firm.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The firm that is charged for the task.
    pub firm: FirmId,
    /// The crew of the firm.
    pub crew: CrewId,
    /// The job that the task is part of.
    pub job: JobKey,
}
