//! The members of a queue: firms, their crews, the crews' jobs and the jobs' tasks.

use crate::{key::JobKey, level::Level};
use rustc_hash::FxHashMap;
use site::{
    id::{CrewId, FirmId},
    unit::{Slots, Span},
};
use std::collections::VecDeque;

/// A queued task.
pub(crate) struct Task<T> {
    pub(crate) cost: Span,
    /// Whether an earlier attempt of the task was charged.
    pub(crate) charged: bool,
    pub(crate) item: T,
}

/// A job with queued tasks. Removed when it is empty.
pub(crate) struct Job<T> {
    pub(crate) key: JobKey,
    pub(crate) tasks: VecDeque<Task<T>>,
    /// Sum of the costs of `tasks`.
    pub(crate) cost: Span,
}

/// A crew. Active in its firm while it has jobs.
pub(crate) struct Crew<T> {
    pub(crate) id: CrewId,
    /// Number of tasks that were popped here and have not finished.
    pub(crate) running: usize,
    pub(crate) jobs: Level<Job<T>>,
}

/// A firm. Active while it has queued tasks and is below its quota.
pub(crate) struct Firm<T> {
    pub(crate) id: FirmId,
    pub(crate) crews: Level<Crew<T>>,
    pub(crate) crew_index: FxHashMap<CrewId, usize>,
    pub(crate) quota: Option<Slots>,
    /// Number of tasks that were popped here and have not finished.
    pub(crate) running: usize,
    /// Number of tasks that run at other entries, as last reported.
    pub(crate) remote: usize,
    /// Number of queued tasks.
    pub(crate) queued: usize,
    /// Sum of the costs of the queued tasks.
    pub(crate) cost: Span,
    /// The part of `cost` that is included in the queue's `cost`: all while the firm is active,
    /// else zero.
    pub(crate) counted_cost: Span,
}

impl<T> Firm<T> {
    pub(crate) fn new(id: FirmId) -> Self {
        Self {
            id,
            crews: Level::default(),
            crew_index: FxHashMap::default(),
            quota: None,
            running: 0,
            remote: 0,
            queued: 0,
            cost: Span::ZERO,
            counted_cost: Span::ZERO,
        }
    }

    pub(crate) fn is_below_quota(&self) -> bool {
        self.quota.is_none_or(|quota| self.running + self.remote < quota.0 as usize)
    }
}

/// The indices of a job and of its crew and firm.
#[derive(Clone, Copy)]
pub(crate) struct JobIndex {
    pub(crate) firm: usize,
    pub(crate) crew: usize,
    pub(crate) job: usize,
}
