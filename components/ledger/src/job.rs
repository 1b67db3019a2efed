//! An admitted submission, shared between the table and its tasks.

use site::{submission::Submission, unit::Time};
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

/// An admitted submission, shared between the table and the tasks that are queued or running.
#[derive(Debug)]
pub struct Job {
    /// The submission as the caller sent it.
    pub submission: Arc<Submission>,
    /// Number of the job, unique within this process.
    pub number: u64,
    /// The time when the caller stops waiting.
    pub deadline: Time,
    /// Number of attempts that may have run: incremented before the first byte is sent, decremented
    /// when it is known that the attempt did not run.
    started: AtomicU32,
    /// Set when the final answer is fixed; no task starts afterwards. Never cleared.
    closed: AtomicBool,
}

impl Job {
    /// Creates a job of which no attempt has started.
    pub fn new(submission: Arc<Submission>, number: u64, deadline: Time) -> Job {
        Job {
            submission,
            number,
            deadline,
            started: AtomicU32::new(0),
            closed: AtomicBool::new(false),
        }
    }

    /// Counts an attempt before it is sent. Call it under the lock that guards starting.
    pub fn start(&self) {
        self.started.fetch_add(1, Ordering::Relaxed);
    }

    /// Uncounts an attempt that is known not to have run. Call it under the lock that guards
    /// starting.
    pub fn revert_start(&self) {
        self.started.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns whether any task may have run.
    pub fn is_started(&self) -> bool {
        self.started.load(Ordering::Relaxed) > 0
    }

    /// Forbids further starts and returns whether any task may have run. Call it under the lock
    /// that guards starting, so that the result stays valid.
    pub fn close(&self) -> bool {
        self.closed.store(true, Ordering::Relaxed);
        self.is_started()
    }

    /// Returns whether starting is forbidden.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}
