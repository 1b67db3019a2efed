//! Jobs and their tasks.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use site::{
    id::{Home, ServiceId},
    unit::{Resources, Span, Time},
};
use std::{fmt, sync::Arc};

/// A job as its caller hands it in. Nothing of it is stored: its caller waits for its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Chosen by the caller. The same name after a lost answer is the same job.
    pub name: CompactString,
    /// The caller's id of this request, for the log; empty if it has none. A job that is handed in
    /// again comes with another.
    pub request: CompactString,
    /// What its tasks do, as the caller wrote it.
    pub spec: Arc<str>,
    /// How many tasks it has; at least one.
    pub tasks: u16,
    /// What each of them needs.
    pub needs: Resources,
    /// A label that their executor must have.
    pub label: Option<CompactString>,
    /// Most of them on one executor.
    pub per_executor: Option<u16>,
    /// How long each of them runs, by the caller's rough estimate.
    pub estimate: Span,
    /// The executors' service.
    pub service: ServiceId,
    /// 0 is the most urgent. Not part of the order of jobs yet, which follows their latest start.
    pub priority: u8,
    /// The job fails when one task has failed this often.
    pub max_failures: u16,
    /// From then on its answer is late.
    pub due: Time,
    /// From then on nobody needs its answer.
    pub give_up: Time,
    /// Number of the first run of its tasks. Runs of the same task must rise, also across entries
    /// that know nothing of each other, so it grows with the time since the caller's first try.
    pub first_run: u32,
}

impl Job {
    /// The latest start at which it is in time if its tasks take this part of their estimate.
    pub(crate) fn start_by(&self, percent: u64) -> Time {
        let estimate = self.estimate.0 * percent / 100;
        Time(self.due.0.saturating_sub(estimate))
    }
}

/// Names a job among all that are open at all entries.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Key {
    /// The entry that answers its caller.
    pub home: Home,
    /// Counted by the home.
    pub number: u64,
}

/// Names a task among all that are open.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Task {
    /// Its job.
    pub job: Key,
    /// Position in the job, from 0.
    pub index: u16,
}

/// Names one run of a task at an executor.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Run {
    /// The caller's name of the job.
    pub job: CompactString,
    /// Position of the task in the job.
    pub index: u16,
    /// Counts the starts of the task.
    pub number: u32,
}

impl Run {
    /// The task's name at executors: job, occurrence, step and index. Jobs here have one
    /// occurrence and one step.
    pub fn task_name(&self) -> CompactString {
        format_compact!("{}.0.0.{}", self.job, self.index)
    }

    /// The run of this number of the task that [`task_name`](Self::task_name) named so.
    pub fn parse(task: &str, number: u32) -> Option<Self> {
        let mut parts = task.split('.');
        let job = parts.next()?.into();
        if parts.next()? != "0" || parts.next()? != "0" {
            return None;
        }
        let index = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(Run { job, index, number })
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task_name(), self.number)
    }
}

/// What a caller learns of its job in the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks ended well.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// Tasks have run, and the job can't end in time any more.
    GivenUp,
    /// No task has started and none ever will.
    Refused {
        /// When another try makes sense.
        retry_after: Span,
    },
}
