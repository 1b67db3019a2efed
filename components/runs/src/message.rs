//! Messages between entries. They are encoded with postcard, so the order of fields and variants is
//! part of the format.

use crate::{
    Cordon,
    demand::Demand,
    executor::Incarnation,
    job::{Run, Stretch, Task},
    load::{Load, Summary},
    speed::{Factor, Measure},
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use site::{
    id::{EndpointId, Home, ServiceId},
    unit::{Resources, Revision, Span, Time},
};
use std::{cmp::Reverse, iter, sync::Arc};

/// A message between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver to run tasks on executors that it keeps. It sends one [`Ended`] for each
    /// task in a [`Message::Ended`].
    Place(Placement),
    /// The answers for these tasks are no longer wanted; the receiver stops their runs.
    Cancel(Vec<Task>),
    /// How tasks that the receiver had placed ended.
    Ended(Vec<Ended>),
    /// The sender's room and load.
    Report(Report),
    /// An executor claim: the sender now keeps these executors and asks for their state.
    Claim(Vec<EndpointId>),
    /// The state of an executor that the sender no longer keeps.
    Transfer(Transfer),
    /// The sender does not keep these executors, which the receiver has claimed.
    Disclaim(Vec<EndpointId>),
    /// The sender is now the keeper of these runs, which another keeper transferred to it. The
    /// receiver, their home, confirms or cancels them.
    Moved(Vec<Moved>),
    /// The operator's latest configuration, for entries that can't reach the platform's store.
    Configuration {
        /// Version of the configuration.
        version: u64,
        /// The document as it was read.
        document: Arc<[u8]>,
    },
    /// Hands tasks of another entry that the sender can't start to the receiver.
    Forward(Forward),
    /// The sender is now the keeper of these tasks, which another keeper forwarded to it. The
    /// receiver, their home, confirms or cancels them.
    Taken(Vec<Moved>),
    /// The sender, the home of these tasks, knows that the receiver is their keeper.
    Confirmed(Vec<Moved>),
    /// Forwarded tasks and transferred runs that the sender does not keep: the receiver, which had
    /// them before, has to tell their homes.
    Returned(Vec<Ended>),
    /// A sign of life, for a keeper that has had none from its tasks' home for a while.
    Alive(Sign),
}

/// Shows until when the sender was alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sign {
    /// The sender vouches for its jobs until this time, by its clock: it had handled what was known of
    /// their callers.
    pub alive: Time,
    /// The receiver's latest sign; `None` if the sender has handled none.
    pub echo: Option<Echo>,
}

/// A sign that was handled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Echo {
    /// [`Sign::alive`], by the clock of who sent the sign.
    pub alive: Time,
    /// When it was handled, by the clock of who got it.
    pub handled: Time,
}

/// Tasks of one job, sent to one keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// When it was sent, by the sender's clock.
    pub sent: Time,
    /// The job that the tasks belong to.
    pub job: crate::job::Key,
    /// The job's name, chosen by the caller.
    pub name: CompactString,
    /// What its tasks do, as the caller wrote it.
    pub spec: Arc<str>,
    /// Resources that each task needs.
    pub needs: Resources,
    /// A label that the executor must have; `None` allows any executor.
    pub label: Option<CompactString>,
    /// Maximum number of the job's tasks on one executor; `None` for no limit.
    pub per_executor: Option<u16>,
    /// How long each task runs, by the caller's estimate.
    pub estimate: Span,
    /// The service whose executors can run the tasks.
    pub service: ServiceId,
    /// Whether some task of the job has run already.
    pub begun: bool,
    /// Time until the deadline of the job's answer.
    pub due_in: Span,
    /// Time until nobody needs the job's answer.
    pub give_up_in: Span,
    /// The tasks to run.
    pub tasks: Vec<PlacedTask>,
    /// How the deadline depends on the true length of the tasks.
    pub stretch: Stretch,
}

/// Tasks of one job that a keeper forwards to another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// The tasks, as their home placed them. `sent` is by the forwarding keeper's clock.
    pub placement: Placement,
    /// Time since their home sent them.
    pub elapsed: Span,
    /// Keepers that had them before the sender.
    pub visited: Vec<Home>,
}

/// One task of a placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedTask {
    /// Position in the job, from 0.
    pub index: u16,
    /// Number of its next run.
    pub run: u32,
    /// Executors on which earlier runs of it failed or were lost.
    pub avoid: Vec<EndpointId>,
}

/// How a task ended at a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// The task that ended.
    pub task: Task,
    /// Number of its latest run, or of the run that was not started.
    pub run: u32,
    /// The executor that it ran on; `None` if it was not started.
    pub executor: Option<EndpointId>,
    /// How it ended.
    pub end: End,
}

/// A run that has a new keeper.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    /// The task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
}

/// How a keeper's work on a task ended. Nothing of the task runs any more, except for
/// [`End::Unsure`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It completed.
    Done,
    /// It ran and failed.
    Failed,
    /// It ended early at an executor that goes on: stopped, ended with the executor's lease, or no
    /// longer listed.
    Lost,
    /// Its executor was unresponsive until the lease expired, or the executor's incarnation ended. It
    /// can't be known whether it was running then.
    ExecutorLost,
    /// It never started.
    NotRun,
    /// It may be running until its lease ends: another keeper has taken over the executor and is about
    /// to stop it, or the keeper that it was forwarded to was lost or had to give it up.
    Unsure,
    /// Its executor's incarnation ended while it ran.
    ExecutorCrashed,
}

/// A keeper's room, load and state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// That the sender is alive.
    pub sign: Sign,
    /// Tasks that may be sent to it now.
    pub room: Room,
    /// Number of tasks of usual size that its executors can run concurrently.
    pub capacity: u32,
    /// The work that is pending or queued there, and how fast its executors get through it.
    pub load: Load,
    /// The sum of the loads of the entries in the sender's data centre that it gets reports from,
    /// its own included.
    pub data_centre_load: Summary,
    /// Whether all executors that it has in use are under cordon.
    pub cordoned: bool,
    /// Whether the sender drains and must keep no executor.
    pub leaving: bool,
    /// Whether it keeps no executor, so that it has none to transfer.
    pub idle: bool,
    /// Version of the configuration that it knows.
    pub configuration: u64,
    /// The latest cordon that it knows, for entries that can't reach the platform's store.
    pub cordon: Cordon,
    /// The latest revision of the platform's store that it has seen.
    pub revision: Revision,
    /// Speeds of kinds of executors; empty if they are unchanged since the last report to the
    /// receiver.
    pub kinds: Vec<Measure>,
    /// Listed entries of the sender's data centre that it was connected to and no longer hears
    /// from.
    pub lost: Vec<Home>,
    /// The highest fencing token that it uses.
    pub highest_token: u64,
    /// What callers ask the sender for, and how urgent its pending work is. Boxed to keep messages
    /// small in memory.
    pub demand: Box<Demand>,
    /// The sum of the demands of the entries that `data_centre_load` sums.
    pub data_centre_demand: Box<Demand>,
}

impl Report {
    /// Whether anything but room and load differs from an older report.
    pub(crate) fn has_urgent_change(&self, old: &Report) -> bool {
        self.capacity != old.capacity
            || self.leaving != old.leaving
            || self.idle != old.idle
            || self.cordoned != old.cordoned
            || self.configuration != old.configuration
            || !self.cordon.matches(&old.cordon)
            || self.room.loses_class(&old.room)
    }

    /// Whether work is pending or queued there now and was not in an older report.
    pub(crate) fn gains_pending_work(&self, old: &Report) -> bool {
        self.load.pending > 0 && old.load.pending == 0
    }
}

/// Free capacity for tasks.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Room {
    /// Free thousandths of a core of each executor that takes tasks and has any free. Other
    /// resources are rarely the limit; a task that lacks one is handed back.
    pub cores: Vec<u32>,
    /// Tasks that may be sent beyond that and are queued at the keeper, so that no capacity idles
    /// until their home gets the next report.
    pub ahead: u32,
    /// The speed classes of the executors that take tasks, the fastest first, including those that
    /// are full. `cores` is in the order of the classes. Empty if the executors are alike, or not
    /// known to differ.
    pub speeds: Vec<SpeedClass>,
}

/// Executors that are about equally fast.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "EncodedClass", into = "EncodedClass")]
pub struct SpeedClass {
    /// Their speed.
    pub factor: Factor,
    /// How many of them have free cores.
    pub executors: u16,
    /// Capacity of the largest of them, in whole cores.
    pub largest: u16,
}

/// The encoding of a class: its factor in steps of 2%, which take one byte up to 254%.
#[derive(Serialize, Deserialize)]
struct EncodedClass {
    steps: u16,
    executors: u16,
    largest: u16,
}

impl From<SpeedClass> for EncodedClass {
    fn from(class: SpeedClass) -> Self {
        let SpeedClass { factor, executors, largest } = class;
        Self { steps: factor.0.div_ceil(2), executors, largest }
    }
}

impl From<EncodedClass> for SpeedClass {
    fn from(encoded: EncodedClass) -> Self {
        let EncodedClass { steps, executors, largest } = encoded;
        Self { factor: Factor(steps.saturating_mul(2)), executors, largest }
    }
}

impl Room {
    /// How many tasks that need `cores` fit.
    pub fn count(&self, cores: u32) -> u32 {
        self.cores.iter().map(|free| free / cores.max(1)).sum()
    }

    /// How many tasks that need `cores` fit on executors that are at least as fast as `slowest`, or on
    /// any if that is `None`.
    pub(crate) fn count_for(&self, cores: u32, slowest: Option<Factor>) -> u32 {
        match slowest {
            Some(slowest) => self.count_within(cores, slowest),
            None => self.count(cores),
        }
    }

    /// How many tasks that need `cores` fit on executors that are at least as fast as `slowest`.
    pub fn count_within(&self, cores: u32, slowest: Factor) -> u32 {
        let fast = self.factors().zip(&self.cores).filter(|(factor, _)| *factor <= slowest);
        fast.map(|(_, free)| free / cores.max(1)).sum()
    }

    /// The speed of the fastest executors that are large enough for a task which needs `cores`, full
    /// ones included; `None` if the executors are not known to differ.
    pub fn fastest(&self, cores: u32) -> Option<Factor> {
        let is_large_enough = |class: &&SpeedClass| u32::from(class.largest) * 1_000 >= cores;
        let is_valid = |class: &&SpeedClass| class.factor >= Factor::MIN;
        self.speeds.iter().filter(is_valid).find(is_large_enough).map(|class| class.factor)
    }

    /// Subtracts tasks that need `cores` and were sent, best fit first: each from the fullest
    /// executor that has room for it.
    pub fn reserve(&mut self, cores: u32, tasks: u32) {
        for _ in 0..tasks {
            let fitting = self.cores.iter_mut().filter(|free| **free >= cores);
            match fitting.min() {
                Some(free) => *free -= cores,
                None => self.ahead = self.ahead.saturating_sub(1),
            }
        }
    }

    /// Subtracts tasks that were sent and that start on executors at least as fast as `slowest`, or on
    /// any if that is `None`.
    pub(crate) fn reserve_for(&mut self, cores: u32, tasks: u32, slowest: Option<Factor>) {
        match slowest {
            Some(slowest) => self.reserve_within(cores, tasks, slowest),
            None => self.reserve(cores, tasks),
        }
    }

    /// The same for tasks that only start on executors at least as fast as `slowest`, and on the
    /// slowest of these.
    pub fn reserve_within(&mut self, cores: u32, tasks: u32, slowest: Factor) {
        let factors: Vec<_> = self.factors().collect();
        for _ in 0..tasks {
            let fitting = factors.iter().zip(&mut self.cores);
            let fitting = fitting.filter(|(factor, free)| **factor <= slowest && **free >= cores);
            match fitting.min_by_key(|(factor, free)| (Reverse(**factor), **free)) {
                Some((_, free)) => *free -= cores,
                None => self.ahead = self.ahead.saturating_sub(1),
            }
        }
    }

    /// The speed of each executor in `cores`.
    fn factors(&self) -> impl Iterator<Item = Factor> {
        let of_class =
            |class: &SpeedClass| iter::repeat_n(class.factor, usize::from(class.executors));
        self.speeds
            .iter()
            .flat_map(of_class)
            .chain(iter::repeat(Factor::ONE))
            .take(self.cores.len())
    }

    /// Whether the fastest executors of an older report are gone: tasks wait for them elsewhere.
    fn loses_class(&self, old: &Self) -> bool {
        let fastest = |room: &Self| room.speeds.first().map(|class| class.factor);
        let limit = fastest(old).map(Factor::class_limit);
        limit.is_some_and(|limit| fastest(self).is_none_or(|fastest| fastest > limit))
    }

    /// Whether nothing may be sent.
    pub fn is_empty(&self) -> bool {
        self.cores.is_empty() && self.ahead == 0
    }
}

/// The state of an executor, sent by its former keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The executor that changes its keeper.
    pub executor: EndpointId,
    /// The executor's incarnation that the state belongs to; `None` where each incarnation
    /// registers under a name of its own.
    pub incarnation: Option<Incarnation>,
    /// The fencing token that the sender used.
    pub token: u64,
    /// All ends up to this number were reported to their homes.
    pub acknowledged: u64,
    /// Runs that are on the executor, or may be.
    pub runs: Vec<TransferredRun>,
}

/// One run that gets a new keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredRun {
    /// The run at the executor.
    pub run: Run,
    /// The task that it is a run of.
    pub task: Task,
    /// Resources that it occupies.
    pub needs: Resources,
    /// How long it runs, by the caller's estimate.
    pub estimate: Span,
    /// Time since its start was sent.
    pub running_for: Span,
    /// Time until nobody needs its answer.
    pub give_up_in: Span,
}
