//! What entries say to each other.

use crate::{
    Cordon,
    executor::Birth,
    job::{Run, Task},
    load::{Load, Summary},
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use site::{
    id::{EndpointId, ServiceId},
    unit::{Resources, Revision, Span, Time},
};
use std::sync::Arc;

/// A message between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The receiver is to run tasks on executors that it keeps. It answers for each of them with
    /// one [`Message::Ended`].
    Place(Placement),
    /// The answers for these tasks are no longer wanted; their runs are to be stopped.
    Cancel(Vec<Task>),
    /// What became of tasks that the receiver had placed.
    Ended(Vec<Ended>),
    /// What the sender's executors have room for, when it changed.
    Report(Report),
    /// The sender now keeps these executors.
    Claim(Vec<EndpointId>),
    /// What the sender knew of an executor that it keeps no longer.
    Yield(Yield),
    /// The sender does not keep these executors, which the receiver has claimed.
    Disclaim(Vec<EndpointId>),
    /// The sender is now the keeper of these tasks' runs.
    Moved(Vec<Moved>),
    /// The operator's newest configuration, for entries that can't reach the platform's store.
    Configuration {
        /// Its version.
        version: u64,
        /// The document as it was read.
        document: Arc<[u8]>,
    },
}

/// Tasks of one job for one keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// When it was sent, by the sender's clock.
    pub sent: Time,
    /// The job.
    pub job: crate::job::Key,
    /// The caller's name of it.
    pub name: CompactString,
    /// What its tasks do.
    pub spec: Arc<str>,
    /// What each of them needs.
    pub needs: Resources,
    /// A label that their executor must have.
    pub label: Option<CompactString>,
    /// Most of them on one executor.
    pub per_executor: Option<u16>,
    /// How long each of them may run.
    pub estimate: Span,
    /// The executors' service.
    pub service: ServiceId,
    /// Some task of the job has run.
    pub begun: bool,
    /// Time until the job's answer is late.
    pub due_in: Span,
    /// Time until nobody needs its answer.
    pub give_up_in: Span,
    /// The tasks.
    pub tasks: Vec<Place>,
}

/// One task of a placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// Position in the job.
    pub index: u16,
    /// Number of its next run.
    pub run: u32,
    /// Where earlier runs of it went wrong.
    pub avoid: Vec<EndpointId>,
}

/// What became of a task.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// The task.
    pub task: Task,
    /// The number of its latest run, or of the one that it would have had.
    pub run: u32,
    /// Where it ran; `None` if nowhere.
    pub executor: Option<EndpointId>,
    /// How it ended.
    pub end: End,
}

/// A run that has another keeper now.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    /// Its task.
    pub task: Task,
    /// Its number.
    pub run: u32,
}

/// How a keeper's work on a task ended. Nothing of the task runs any more, except where it says
/// so.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// It started and was broken off.
    Lost,
    /// Its executor crashed under it, or fell silent until the lease was over.
    ExecutorLost,
    /// It never started.
    NotRun,
    /// Another keeper has taken the executor over and is about to stop it.
    Unsure,
}

/// What a keeper's executors have room for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When it was sent, by the sender's clock.
    pub sent: Time,
    /// Its room.
    pub room: Room,
    /// Tasks of usual size that its executors can run at one time.
    pub capacity: u32,
    /// The work that waits there, and how fast its executors get through it.
    pub load: Load,
    /// The same of all entries of the sender's data centre that it hears of.
    pub near: Summary,
    /// All executors that it has in use are under cordon.
    pub cordoned: bool,
    /// It is about to stop and must keep nothing.
    pub leaving: bool,
    /// It keeps no executor, so that it has none to hand over.
    pub idle: bool,
    /// The version of the configuration that it knows.
    pub configuration: u64,
    /// The latest cordon that it knows, for entries that can't reach the platform's store.
    pub cordon: Cordon,
    /// The newest revision of the platform's store that it has seen.
    pub revision: Revision,
}

impl Report {
    /// Whether it says anything but for its room that an older one does not.
    pub(crate) fn is_news(&self, old: &Report) -> bool {
        self.capacity != old.capacity
            || self.leaving != old.leaving
            || self.idle != old.idle
            || self.cordoned != old.cordoned
            || self.configuration != old.configuration
            || !self.cordon.matches(&old.cordon)
    }

    /// Whether work waits there now and did not before.
    pub(crate) fn begins_to_wait(&self, old: &Report) -> bool {
        self.load.waiting > 0 && old.load.waiting == 0
    }
}

/// Room for tasks.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Room {
    /// Thousandths of a core that are free at each executor that takes tasks and has any. Other
    /// resources bind rarely; a task that lacks one comes back.
    pub cores: Vec<u32>,
    /// Tasks that may be sent beyond that, so that no capacity idles while their home hears of it.
    pub ahead: u32,
}

impl Room {
    /// How many tasks that need `cores` fit.
    pub fn count(&self, cores: u32) -> u32 {
        self.cores.iter().map(|free| free / cores.max(1)).sum()
    }

    /// Notes that tasks that need `cores` were sent, to the fullest executors that fit them.
    pub fn take(&mut self, cores: u32, tasks: u32) {
        for _ in 0..tasks {
            let fitting = self.cores.iter_mut().filter(|free| **free >= cores);
            match fitting.min() {
                Some(free) => *free -= cores,
                None => self.ahead = self.ahead.saturating_sub(1),
            }
        }
    }

    /// Whether nothing may be sent.
    pub fn is_empty(&self) -> bool {
        self.cores.is_empty() && self.ahead == 0
    }
}

/// What a former keeper knew of an executor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Yield {
    /// The executor.
    pub executor: EndpointId,
    /// The life of it that the rest is about.
    pub born: Option<Birth>,
    /// The fencing token that the sender used there.
    pub token: u64,
    /// Ends up to here are known to all whom they concern.
    pub acknowledged: u64,
    /// Runs that are there, or may be.
    pub runs: Vec<Yielded>,
}

/// One run that changes its keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Yielded {
    /// The run.
    pub run: Run,
    /// Whose.
    pub task: Task,
    /// What it occupies.
    pub needs: Resources,
    /// Its estimate.
    pub estimate: Span,
    /// How long ago it was started.
    pub running_for: Span,
    /// Time until nobody needs its answer.
    pub give_up_in: Span,
}
