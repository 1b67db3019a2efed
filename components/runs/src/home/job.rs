//! One job that this entry answers for.

use crate::{
    Options,
    job::{self, Job, Key},
};
use site::{
    id::{EndpointId, Home, WaiterId},
    unit::{Span, Time},
};
use std::sync::Arc;

/// A task that its keeper has kept for this long runs: one that can't be started is handed back
/// after 10 ms.
const START_TIME: Span = Span::from_millis(50);

/// A job whose caller waits.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) key: Key,
    pub(crate) job: Arc<Job>,
    pub(crate) waiter: WaiterId,
    pub(crate) arrived: Time,
    pub(crate) tasks: Vec<Task>,
    /// Some task has run, or may have.
    pub(crate) ran: bool,
    /// When the first task was sent to a keeper.
    pub(crate) placed_at: Option<Time>,
}

/// A task of a job.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) state: State,
    /// Number of its next run.
    pub(crate) run: u32,
    pub(crate) failures: u16,
    /// Executors that were lost under it.
    pub(crate) executors_lost: u16,
    /// Where earlier runs went wrong.
    pub(crate) avoid: Vec<EndpointId>,
}

/// How far a task is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// It is to be sent to a keeper.
    Waiting {
        /// Not before then: an earlier run may still be there.
        from: Time,
    },
    /// A keeper has it.
    Placed {
        /// Which.
        keeper: Home,
    },
    /// It ended well.
    Done,
}

impl Open {
    pub(crate) fn new(now: Time, key: Key, waiter: WaiterId, job: Job) -> Self {
        let task = || Task {
            state: State::Waiting { from: now },
            run: job.first_run,
            failures: 0,
            executors_lost: 0,
            avoid: Vec::new(),
        };
        let tasks = (0..job.tasks).map(|_| task()).collect();
        Self { key, job: Arc::new(job), waiter, arrived: now, tasks, ran: false, placed_at: None }
    }

    /// Positions of the tasks that may be sent now.
    pub(crate) fn waiting(&self, now: Time) -> Vec<u16> {
        let waits = |task: &Task| matches!(task.state, State::Waiting { from } if from <= now);
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(|(_, task)| waits(task)).map(|(index, _)| index as u16).collect()
    }

    pub(crate) fn has_waiting_now(&self, now: Time) -> bool {
        let waits = |task: &Task| matches!(task.state, State::Waiting { from } if from <= now);
        self.tasks.iter().any(waits)
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.state, State::Waiting { .. }))
    }

    /// Thousandths of a core that its waiting tasks need.
    pub(crate) fn cores_waiting(&self) -> u64 {
        let waits = |task: &&Task| matches!(task.state, State::Waiting { .. });
        self.tasks.iter().filter(waits).count() as u64 * u64::from(self.job.needs.cores.0)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == State::Done)
    }

    /// Tasks that keepers have, with their keepers.
    pub(crate) fn placed(&self) -> impl Iterator<Item = (Home, job::Task)> {
        let job = self.key;
        self.tasks.iter().enumerate().filter_map(move |(index, task)| match task.state {
            State::Placed { keeper } => Some((keeper, job::Task { job, index: index as u16 })),
            _ => None,
        })
    }

    /// Whether no task has run, nor will unless it is sent to a keeper.
    pub(crate) fn is_untouched(&self) -> bool {
        !self.ran && self.placed().next().is_none()
    }

    /// Whether some task has run, or surely runs. Such jobs go first, so that what has run is not in
    /// vain.
    pub(crate) fn has_begun(&self, now: Time) -> bool {
        let runs = |at: Time| now.since(at) > START_TIME && self.placed().next().is_some();
        self.ran || self.placed_at.is_some_and(runs)
    }

    /// Whether the job has waited for its first start for so long that its caller is better off
    /// with a refusal.
    pub(crate) fn has_waited_enough(&self, now: Time, percent: u64) -> bool {
        let patience = self.job.due.since(self.arrived).0 * percent / 100;
        self.is_untouched() && now.since(self.arrived) > Span(patience)
    }

    /// Whether a task that starts now ends too late for anyone, by the estimate.
    pub(crate) fn is_too_late(&self, now: Time) -> bool {
        now + self.job.estimate > self.job.give_up
    }

    /// Sorts jobs that have begun first, then what can still be in time, the most pressing first.
    pub(crate) fn rank(&self, now: Time, options: &Options) -> (bool, bool, Time, Key) {
        let begun = options.begun_first && self.has_begun(now);
        let start_by = self.job.start_by(options.caution_percent);
        (!begun, start_by < now, start_by, self.key)
    }
}
