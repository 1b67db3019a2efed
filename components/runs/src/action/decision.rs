//! Decisions, for the decision log.

use super::{Ending, ExecutorHealth, Flood, KeepChange, Outlook, Reason, Source, StopCause};
use crate::{
    demand::Group,
    executor::{Kind, Refusal},
    job::Route,
    message::End,
    speed::Factor,
};
use compact_str::CompactString;
use serde::{Serialize, Serializer};
use site::{
    id::{DataCentreId, Home},
    unit::{Revision, Span},
};
use std::fmt;
/// A decision with the data that it is based on, for the decision log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Decision {
    /// A job arrived. If it is rejected at once, an `Answer` line follows.
    Admit {
        /// The job's name, chosen by the caller.
        job: CompactString,
        /// The caller's id of the request.
        request: CompactString,
        /// Number of tasks.
        tasks: u16,
        /// The caller's estimate for one task.
        estimate: Span,
        /// Time until the deadline of its answer.
        due_in: Span,
        /// Time until nobody needs its answer.
        give_up_in: Span,
        /// Jobs of this entry with pending tasks.
        waiting: usize,
        /// Expected wait for room, from the latest reports; `None` while no executor is known.
        foreseen: Option<Span>,
        /// Longest expected wait at which the job is still admitted.
        limit: Span,
        /// The job's group among those that compete for scarce capacity.
        #[serde(serialize_with = "text")]
        group: Group,
        /// The part of a flooding class that the job counts in; `None` if its classes don't flood.
        #[serde(skip_serializing_if = "Option::is_none")]
        floods: Option<Flood>,
        /// The queue that it was submitted to.
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<Route>,
    },
    /// Tasks of a job were sent to a keeper.
    Place {
        /// The job's name, chosen by the caller.
        job: CompactString,
        /// Number of tasks sent.
        tasks: usize,
        /// The keeper that they were sent to.
        #[serde(serialize_with = "text")]
        keeper: Home,
        /// How many such tasks the keeper had room for, by its latest report.
        room: u32,
        /// Age of that report.
        age: Span,
        /// The keeper's data centre, if it is not that of this entry.
        #[serde(skip_serializing_if = "Option::is_none")]
        far: Option<DataCentreId>,
    },
    /// A keeper handed a task that it can't start to another one.
    Forward {
        /// The run, as task name and run number.
        run: CompactString,
        /// The new keeper.
        #[serde(serialize_with = "text")]
        keeper: Home,
        /// How many such tasks the new keeper had room for, by its latest report.
        room: u32,
        /// How long the task was queued at its old keeper.
        waited: Span,
    },
    /// A task was started on an executor.
    Start {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// How long the task was queued at its keeper.
        waited: Span,
        /// Age of the clock reading that the lease deadline is computed from.
        clock_age: Span,
        /// The kind of the executor's machine.
        #[serde(skip_serializing_if = "Option::is_none")]
        kind: Option<Kind>,
        /// Whether the task will be in time there; absent where all executors are alike.
        #[serde(skip_serializing_if = "Option::is_none")]
        outlook: Option<Outlook>,
    },
    /// A run completed after the deadline of its job, at a site whose executors differ in speed.
    LateRun {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// The kind of the executor's machine.
        #[serde(skip_serializing_if = "Option::is_none")]
        kind: Option<Kind>,
        /// Time since the deadline, as computed from the caller's estimate.
        late_by: Span,
    },
    /// An executor refused a start.
    StartRefused {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// The executor's reason.
        why: Refusal,
    },
    /// A run ended other than successfully.
    RunEnded {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// How it ended, as the executor listed it or as a missing response implies.
        how: Ending,
        /// Time since its start was sent.
        after: Span,
        /// Time since the executor last confirmed or listed it; `None` if it never did, so that it
        /// may not have begun.
        last_seen: Option<Span>,
        /// Health of the executor before this end was taken into account.
        health: ExecutorHealth,
    },
    /// A run was stopped.
    StopRun {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// Reason for the stop.
        why: StopCause,
    },
    /// A task's run ended unsuccessfully: the task runs again, or its job ends.
    TaskEnded {
        /// The job's name, chosen by the caller.
        job: CompactString,
        /// Position of the task in the job, from 0.
        index: u16,
        /// Number of the run.
        run: u32,
        /// How the run ended, as its keeper reports.
        end: End,
        /// How often the task has failed.
        failures: u16,
        /// How many executors crashed under it.
        crashes: u16,
        /// How many executors were lost otherwise under it.
        otherwise_lost: u16,
        /// Whether another run follows.
        again: bool,
    },
    /// A caller was answered.
    Answer {
        /// The job's name, chosen by the caller.
        job: CompactString,
        /// The caller's id of the request.
        request: CompactString,
        /// The answer: `completed`, `failed`, `given-up` or `refused`.
        answer: &'static str,
        /// Reason for the answer.
        why: Reason,
        /// Time since the job arrived here.
        after: Span,
        /// Part of that time until the first task was sent to a keeper.
        waited: Span,
        /// Time since the deadline; zero if the answer is in time.
        late_by: Span,
        /// Jobs of this entry with pending tasks.
        waiting: usize,
        /// How many tasks of this job all keepers have room for, by their latest reports.
        room: u32,
        /// The job's group among those that compete for scarce capacity.
        #[serde(serialize_with = "text")]
        group: Group,
        /// The queue that it was submitted to.
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<Route>,
    },
    /// A caller left before its answer.
    Left {
        /// The job's name, chosen by the caller.
        job: CompactString,
        /// The caller's id of the request.
        request: CompactString,
        /// Tasks that were at keepers when the caller left.
        placed: usize,
    },
    /// This entry's relation to an executor that it keeps, or is about to keep, changed.
    Keep {
        /// Name of the executor.
        executor: CompactString,
        /// The change.
        change: KeepChange,
        /// This entry's fencing token for the executor.
        token: u64,
        /// Runs that are on the executor, or may be.
        runs: usize,
        /// If it was taken over from a lost entry and is in use now: time since that entry was last
        /// heard from.
        #[serde(skip_serializing_if = "Option::is_none")]
        unkept: Option<Span>,
    },
    /// The health state of an executor changed.
    Health {
        /// Name of the executor.
        executor: CompactString,
        /// The change, as the `Debug` output of `health::Change`.
        change: CompactString,
        /// Binary logarithm of the likelihood ratio of the executor being sick, if it decides.
        #[serde(skip_serializing_if = "Option::is_none")]
        ratio: Option<f32>,
    },
    /// The set of entries that keep executors changed.
    Members {
        /// Number of those entries.
        members: usize,
        /// Number of entries that the store lists.
        listed: usize,
        /// The store's revision.
        revision: u64,
    },
    /// This entry starts or stops watching the registrations of executors.
    Follow {
        /// Whether it watches them now.
        executors: bool,
    },
    /// The set of data centres under cordon changed.
    Cordon {
        /// The data centres under cordon now.
        data_centres: Vec<DataCentreId>,
        /// The store's revision at which this was read.
        revision: Revision,
        /// Where the change was learnt from.
        source: Source,
    },
    /// The factor in use for a kind of executors changed.
    Speed {
        /// The kind.
        kind: Kind,
        /// How long its executors take, in percent of the estimate.
        factor: Factor,
        /// Number of runs measured here; 0 if the factor is from other entries.
        runs: u16,
        /// The part of a run time that does not depend on the estimate, as measured here.
        fixed: Span,
        /// Whether kinds differ enough for the choice of executors.
        uneven: bool,
    },
    /// A connected peer has stopped or begun again to acknowledge what is sent to it.
    Peer {
        /// The peer.
        #[serde(serialize_with = "text")]
        peer: Home,
        /// Whether tasks are sent to it.
        responsive: bool,
    },
    /// The process did not run for a while, for example because its VM was suspended.
    Paused {
        /// How long it did not run.
        span: Span,
    },
    /// A run takes longer than its estimate allows.
    Straggling {
        /// The run, as task name and run number.
        run: CompactString,
        /// Name of the executor.
        executor: CompactString,
        /// Time since its start was sent.
        after: Span,
        /// The caller's estimate.
        estimate: Span,
    },
}

fn text<S: Serializer>(value: &impl fmt::Display, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}
