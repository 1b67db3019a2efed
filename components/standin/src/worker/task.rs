//! The attempts that a worker received, and the resources that they occupy.

use crate::worker::lease::Lease;
use site::unit::Resources;
use std::{collections::HashMap, sync::Arc};

/// The state of an attempt that a request named.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    /// The task runs.
    Running(Running),
    /// The task completed, failed or was stopped.
    Ended,
    /// The task was stopped before it was received, and must not start.
    Cancelled,
}

/// A running task.
#[derive(Clone, Debug)]
pub(super) struct Running {
    /// Resources that the task occupies.
    pub(super) needs: Resources,
    /// Resources that the task reports as used.
    pub(super) uses: Resources,
    pub(super) lease: Arc<Lease>,
}

/// All attempts that requests named, by id. None is removed, so that none starts twice.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    pub(super) attempts: HashMap<String, TaskState>,
    /// Total resources that the running tasks occupy.
    pub(super) used: Resources,
}

impl Tasks {
    pub(super) fn running(&self) -> impl Iterator<Item = (&String, &Running)> {
        self.attempts.iter().filter_map(|(attempt, task)| match task {
            TaskState::Running(running) => Some((attempt, running)),
            TaskState::Ended | TaskState::Cancelled => None,
        })
    }

    pub(super) fn start(&mut self, attempt: &str, running: Running) {
        self.used = self.used.plus(&running.needs);
        self.attempts.insert(attempt.to_owned(), TaskState::Running(running));
    }

    pub(super) fn end(&mut self, attempt: &str) {
        if let Some(TaskState::Running(running)) =
            self.attempts.insert(attempt.to_owned(), TaskState::Ended)
        {
            self.used = self.used.minus(&running.needs);
        }
    }
}
