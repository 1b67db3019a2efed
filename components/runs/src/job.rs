//! Jobs, tasks and runs.

use compact_str::{CompactString, format_compact};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use site::{
    id::{Home, ServiceId},
    unit::{Resources, Span, Time},
};
use std::{fmt, sync::Arc};

/// A job as its caller submits it. It is not stored: the caller waits for the answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Chosen by the caller. A caller that lost the answer submits the job again under the same
    /// name.
    pub name: CompactString,
    /// The caller's id of this request, for the log; empty if it has none. Each submission of a job
    /// has another id.
    pub request: CompactString,
    /// What its tasks do, as the caller wrote it.
    pub spec: Arc<str>,
    /// Number of tasks, at least one.
    pub tasks: u16,
    /// Resources that each task needs.
    pub needs: Resources,
    /// A label that the executor must have; `None` allows any executor.
    pub label: Option<CompactString>,
    /// Maximum number of its tasks on one executor; `None` for no limit.
    pub per_executor: Option<u16>,
    /// How long each task runs, by the caller's rough estimate.
    pub estimate: Span,
    /// The service whose executors can run the tasks.
    pub service: ServiceId,
    /// 0 is the most urgent. Has no effect yet: jobs are ordered by their latest start.
    pub priority: u8,
    /// The job fails when one task has failed this often.
    pub max_failures: u16,
    /// The deadline of its answer.
    pub due: Time,
    /// When nobody needs its answer any more.
    pub give_up: Time,
    /// Number of the first run of its tasks. Run numbers of a task must increase, even across
    /// entries that know nothing of each other, so this grows with the time since the caller's
    /// first try.
    pub first_run: u32,
    /// How `due` depends on the true length of its tasks.
    pub stretch: Stretch,
    /// The queue that it was submitted to, for logs and metrics; `None` if there are none.
    pub route: Option<Route>,
}

/// The name of a queue that callers submit jobs to.
#[derive(
    Clone, Debug, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Route(pub CompactString);

/// By how much a job's deadline moves with the length of its tasks, in percent: the deadline of a
/// job whose longest task takes 10 ms more than estimated is later by 10 ms times this.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Stretch(pub u16);

impl Default for Stretch {
    fn default() -> Self {
        Self(100)
    }
}

impl Job {
    /// The latest start at which the job is in time if its tasks take `percent` of their estimate.
    pub(crate) fn start_by(&self, percent: u64) -> Time {
        let estimate = self.estimate.0 * percent / 100;
        Time(self.due.0.saturating_sub(estimate))
    }
}

/// Identifies a job among the open jobs of all entries.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Key {
    /// The entry that answers its caller.
    pub home: Home,
    /// Sequence number, assigned by the home.
    pub number: u64,
}

/// Identifies a task among the open jobs of all entries.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Task {
    /// The job that it belongs to.
    pub job: Key,
    /// Position in the job, from 0.
    pub index: u16,
}

/// Identifies one run of a task at an executor.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Run {
    /// The job's name, chosen by the caller.
    pub job: CompactString,
    /// Position of the task in the job, from 0.
    pub index: u16,
    /// Sequence number of the run among the task's runs.
    pub number: u32,
}

impl Run {
    /// The task's name at executors: job, occurrence, step and index. Jobs here have one occurrence
    /// and one step.
    pub fn task_name(&self) -> CompactString {
        format_compact!("{}.0.0.{}", self.job, self.index)
    }

    /// Parses a name made by [`task_name`](Self::task_name) into the run with this number.
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

/// The result of a job, as its caller gets it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks completed.
    Completed,
    /// A task failed too often, or several executors crashed under it.
    Failed,
    /// Some task may have run, and the job can't end in time any more or is not tried again.
    GivenUp,
    /// No task has started and none will.
    Rejected {
        /// Time after which the caller should retry.
        retry_after: Span,
    },
}
