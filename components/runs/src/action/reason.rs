//! What decisions were based on, and how runs and jobs ended.

use crate::executor::RunResult;
use health::{Monitor, State};
use serde::Serialize;
use site::id::EndpointId;

/// Whether a task will be in time on the executor chosen for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outlook {
    /// It will be, by the speed of the executor.
    InTime,
    /// It is late on every executor of its keeper.
    Late,
}

impl Ending {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed(RunResult::Done) => "done",
            Self::Listed(RunResult::Failed) => "failed",
            Self::Listed(RunResult::Stopped) => "stopped",
            Self::Listed(RunResult::Lapsed) => "lapsed",
            Self::Unsent => "unsent",
            Self::Refused => "refused",
            Self::Rejected => "rejected",
            Self::Missing => "missing",
            Self::LeaseOver => "lease-over",
            Self::ExecutorGone => "executor-gone",
            Self::Fenced => "fenced",
        }
    }
}

/// How a run ended, and how the keeper knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The executor listed the end.
    Listed(RunResult),
    /// The start never left this process.
    Unsent,
    /// The executor refused the start.
    Refused,
    /// Another incarnation of the executor responded to the start.
    Rejected,
    /// The executor lists neither the run nor its end.
    Missing,
    /// The executor did not respond until its lease must have expired.
    LeaseOver,
    /// The executor's incarnation has ended.
    ExecutorGone,
    /// Another entry now keeps the executor.
    Fenced,
}

/// Health of an executor, as its keeper judges it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutorHealth {
    /// It takes work without restriction.
    Open,
    /// It is more likely faulty than not, and takes work that has no room elsewhere.
    Doubtful,
    /// Its latest runs failed; it takes one task at a time.
    Suspect,
    /// It takes no work.
    Isolated,
    /// It takes one task at a time, to test whether it works again.
    Probing,
}

impl ExecutorHealth {
    /// Returns the health of an executor.
    pub(crate) fn of(monitor: &Monitor, executor: EndpointId) -> Self {
        match monitor.state(executor) {
            State::Open if monitor.is_doubtful(executor) => Self::Doubtful,
            State::Open => Self::Open,
            State::Suspect => Self::Suspect,
            State::Isolated { .. } => Self::Isolated,
            State::Probing => Self::Probing,
        }
    }

    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Doubtful => "doubtful",
            Self::Suspect => "suspect",
            Self::Isolated => "isolated",
            Self::Probing => "probing",
        }
    }
}

/// Why a run was stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopCause {
    /// Its home no longer wants the answer.
    Cancelled,
    /// Its home can't be reached.
    HomeLost,
    /// The start got no response and the run is not listed.
    StartLost,
    /// Its task or its executor came from another keeper, and its home has not confirmed this one in
    /// time.
    Unconfirmed,
    /// It ran for several times its estimate.
    Overdue,
    /// This entry found it on the executor and does not know its task.
    Unknown,
    /// It took longer than its estimate allows, on an executor whose health is in doubt.
    Straggling,
}

/// Why a caller got its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// All tasks completed.
    AllDone,
    /// A task failed `max_failures` times.
    Failures,
    /// Several executors crashed while they ran one of its tasks.
    ExecutorsCrashed,
    /// Too many executors crashed or were lost under one of its tasks.
    ExecutorsLost,
    /// It could not start in time.
    NoRoomInTime,
    /// Too much work was pending when it arrived.
    Overload,
    /// All executors that could run its tasks are under cordon.
    Cordoned,
    /// A run was lost and another one would end too late.
    LostTooLate,
    /// Nobody needs the answer any more, and some task may have run.
    OutOfTime,
    /// The process did not run for a while.
    Paused,
}

/// Where an entry learnt of a change of the cordon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The platform's store.
    Store,
    /// A report of another entry.
    Peer,
}

/// What changed between this entry and an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeepChange {
    /// The former keeper is asked to transfer the executor.
    Claim,
    /// The executor is polled before its first use.
    Look,
    /// The executor is in use.
    Ready,
    /// The executor was transferred to another entry.
    Yield,
    /// Another entry holds the executor with a higher token.
    Fenced,
    /// The platform no longer lists the executor, or another incarnation responded.
    Gone,
    /// The executor has started a new incarnation.
    Reborn,
    /// The executor is unresponsive.
    Silent,
    /// The executor responds again.
    Answers,
}

/// How the admission treats a job of a class whose arrivals have grown far beyond the usual ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flood {
    /// It counts among the usual arrivals of its class.
    Usual,
    /// It is beyond them, and rejected before others.
    Surplus,
}

impl Flood {
    /// The name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Flood::Usual => "usual",
            Flood::Surplus => "surplus",
        }
    }
}
