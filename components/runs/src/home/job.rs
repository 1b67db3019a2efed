//! One open job of this entry.

use crate::{
    Options,
    action::{Flood, Reason},
    deadline::Deadline,
    job::{self, Job, Key},
    speed::Factor,
};
use site::{
    id::{EndpointId, Home, WaiterId},
    unit::{Span, Time},
};
use std::sync::Arc;

/// A task that has been at its keeper for this long is running: one that can't be started is handed
/// back after 10 ms, or 15 ms where it may be forwarded. Only one that was forwarded twice may take
/// longer.
const ASSUMED_RUNNING_AFTER: Span = Span::from_millis(50);

/// A job fails when this many executors crashed under one of its tasks: the task may be what
/// crashes them, and each crash ends everything else that runs on the executor.
const MAX_CRASHES: u16 = 2;

/// A job is given up when this many executors crashed or were lost under one of its tasks. A crash
/// can't always be told from a lost connection.
const MAX_EXECUTORS_LOST: u16 = 4;

/// A job whose caller waits for the answer.
#[derive(Debug)]
pub(crate) struct OpenJob {
    pub(crate) key: Key,
    pub(crate) job: Arc<Job>,
    pub(crate) waiter: WaiterId,
    pub(crate) arrived: Time,
    pub(crate) tasks: Vec<OpenTask>,
    /// Whether some task has run, or may have.
    pub(crate) ran: bool,
    /// When the first task was sent to a keeper.
    pub(crate) placed_at: Option<Time>,
    /// The part of a flooding class that it counts in.
    pub(crate) floods: Option<Flood>,
}

/// A task of an open job.
#[derive(Debug)]
pub(crate) struct OpenTask {
    pub(crate) state: TaskState,
    /// Number of its next run.
    pub(crate) run: u32,
    /// Number of the latest run that is known to have ended.
    pub(crate) ended: Option<u32>,
    pub(crate) failures: u16,
    /// Number of executors that crashed while they ran it.
    pub(crate) crashes: u16,
    /// Number of executors that were lost otherwise after it was sent to them.
    pub(crate) otherwise_lost: u16,
    /// Executors on which earlier runs failed or were lost.
    pub(crate) avoid: Vec<EndpointId>,
}

/// Progress of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// It has to be sent to a keeper.
    Pending {
        /// Not before this time: an earlier run may not have ended.
        from: Time,
    },
    /// A keeper has it.
    Placed {
        /// The keeper that has it.
        keeper: Home,
    },
    /// It completed.
    Done,
}

impl OpenTask {
    /// The reason to end the job because of how this task's runs ended, if there is one.
    pub(crate) fn fatal(&self, max_failures: u16) -> Option<Reason> {
        if self.crashes >= MAX_CRASHES {
            Some(Reason::ExecutorsCrashed)
        } else if self.failures >= max_failures {
            Some(Reason::Failures)
        } else if self.crashes + self.otherwise_lost >= MAX_EXECUTORS_LOST {
            Some(Reason::ExecutorsLost)
        } else {
            None
        }
    }
}

impl OpenJob {
    pub(crate) fn new(now: Time, key: Key, waiter: WaiterId, job: Job) -> Self {
        let task = || OpenTask {
            state: TaskState::Pending { from: now },
            run: job.first_run,
            ended: None,
            failures: 0,
            crashes: 0,
            otherwise_lost: 0,
            avoid: Vec::new(),
        };
        let tasks = (0..job.tasks).map(|_| task()).collect();
        Self {
            key,
            job: Arc::new(job),
            waiter,
            arrived: now,
            tasks,
            ran: false,
            placed_at: None,
            floods: None,
        }
    }

    /// Positions of the tasks that may be sent now.
    pub(crate) fn pending(&self, now: Time) -> Vec<u16> {
        let is_pending =
            |task: &OpenTask| matches!(task.state, TaskState::Pending { from } if from <= now);
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(|(_, task)| is_pending(task)).map(|(index, _)| index as u16).collect()
    }

    pub(crate) fn has_pending_now(&self, now: Time) -> bool {
        let is_pending =
            |task: &OpenTask| matches!(task.state, TaskState::Pending { from } if from <= now);
        self.tasks.iter().any(is_pending)
    }

    pub(crate) fn has_pending(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.state, TaskState::Pending { .. }))
    }

    /// Thousandths of a core that its pending tasks need.
    pub(crate) fn pending_cores(&self) -> u64 {
        let is_pending = |task: &&OpenTask| matches!(task.state, TaskState::Pending { .. });
        self.tasks.iter().filter(is_pending).count() as u64 * u64::from(self.job.needs.cores.0)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Tasks that keepers have, with their keepers.
    pub(crate) fn placed(&self) -> impl Iterator<Item = (Home, job::Task)> {
        let job = self.key;
        self.tasks.iter().enumerate().filter_map(move |(index, task)| match task.state {
            TaskState::Placed { keeper } => Some((keeper, job::Task { job, index: index as u16 })),
            _ => None,
        })
    }

    /// Whether no task has run, and none can without being sent to a keeper.
    pub(crate) fn is_unstarted(&self) -> bool {
        !self.ran && self.placed().next().is_none()
    }

    /// Whether some task has run or is certainly running. Such jobs have precedence, so that their
    /// completed tasks are not wasted.
    pub(crate) fn has_begun(&self, now: Time) -> bool {
        let runs =
            |at: Time| now.since(at) > ASSUMED_RUNNING_AFTER && self.placed().next().is_some();
        self.ran || self.placed_at.is_some_and(runs)
    }

    /// Whether the job has waited for its first start for so long that a rejection serves its
    /// caller better.
    pub(crate) fn exceeds_wait_limit(&self, now: Time, percent: u64) -> bool {
        let limit = self.job.due.since(self.arrived).0 * percent / 100;
        self.is_unstarted() && now.since(self.arrived) > Span(limit)
    }

    /// Whether a task that starts now would end, by the estimate, after its answer is needed.
    pub(crate) fn is_too_late(&self, now: Time) -> bool {
        now + self.job.estimate > self.job.give_up
    }

    /// The slowest speed at which a task that starts now is in time. `None` if it is late on the
    /// fastest executors too, or if only executors with a label can run it: reports of room don't
    /// tell labels.
    pub(crate) fn slowest(
        &self,
        now: Time,
        fastest: Factor,
        fixed: Span,
        options: &Options,
    ) -> Option<Factor> {
        if self.job.label.is_some() {
            return None;
        }
        let left = self.job.due.0 as i64 - now.0 as i64;
        let Job { estimate, stretch, .. } = *self.job;
        Deadline { estimate, left, stretch, fixed }.slowest(fastest, options.caution_percent)
    }

    /// Sort key: jobs that have begun first, then those that can still be in time, then by latest
    /// start.
    pub(crate) fn rank(&self, now: Time, options: &Options) -> (bool, bool, Time, Key) {
        let begun = options.begun_first && self.has_begun(now);
        let start_by = self.job.start_by(options.caution_percent);
        (!begun, start_by < now, start_by, self.key)
    }
}
