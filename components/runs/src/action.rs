//! What an entry wants done.

use crate::{
    Message,
    clock::Remote,
    executor::{How, Refusal},
    job::{Answer, Run},
    message::End,
};
use compact_str::CompactString;
use serde::{Serialize, Serializer};
use site::{
    id::{DataCentreId, EndpointId, Home, WaiterId},
    unit::{Revision, Span},
};
use std::{fmt, sync::Arc};

/// Something to be done outside the logic.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run. Answered by one [`crate::Event::Started`].
    Start(Start),
    /// Stop a run. Answered by one [`crate::Event::Stopped`].
    Stop {
        /// Where.
        executor: EndpointId,
        /// What.
        run: Run,
        /// Proves who keeps the executor.
        token: u64,
    },
    /// Ask for an executor's lists and renew its lease. Answered by one [`crate::Event::Looked`].
    Look(Look),
    /// Give a caller its answer.
    Answer {
        /// Who waits.
        waiter: WaiterId,
        /// The answer.
        answer: Answer,
    },
    /// Send a message to a peer, or drop it if there is no connection.
    Send {
        /// The peer.
        to: Home,
        /// What to say.
        message: Message,
    },
    /// Begin to hand in the executors that there are, or cease to: an entry that keeps none need not know
    /// them.
    FollowExecutors(bool),
    /// Write a line to the log.
    Log(Decision),
    /// A drain has finished.
    Exit,
}

/// Starts a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// Where.
    pub executor: EndpointId,
    /// What.
    pub run: Run,
    /// What the task does.
    pub spec: Arc<str>,
    /// The executor's lease is to last until then, on its clock.
    pub deadline: Remote,
    /// Proves who keeps the executor.
    pub token: u64,
}

/// Asks for an executor's lists.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// Where.
    pub executor: EndpointId,
    /// Tells the looks at one executor apart.
    pub number: u64,
    /// Proves who keeps the executor.
    pub token: u64,
    /// Ends up to this number may be forgotten.
    pub acknowledged: u64,
    /// The executor's lease is to last until then, on its clock; `None` leaves it.
    pub deadline: Option<Remote>,
    /// How long the executor may hold back its answer while nothing ends.
    pub wait: Span,
}

/// A decision and what it rests on, for the log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Decision {
    /// A job came in. One that is turned away at once has its answer next.
    Admit {
        /// The caller's name of the job.
        job: CompactString,
        /// The caller's id of the request.
        request: CompactString,
        /// Its tasks.
        tasks: u16,
        /// Its estimate for one task.
        estimate: Span,
        /// Time until its answer is late.
        due_in: Span,
        /// Time until nobody needs its answer.
        give_up_in: Span,
        /// Jobs that wait here.
        waiting: usize,
        /// How long it would wait for room by what is known; `None` without executors.
        foreseen: Option<Span>,
        /// How long it may wait without being turned away.
        limit: Span,
    },
    /// Tasks of a job were sent to a keeper.
    Place {
        /// The caller's name of the job.
        job: CompactString,
        /// How many of its tasks.
        tasks: usize,
        /// The keeper.
        #[serde(serialize_with = "text")]
        keeper: Home,
        /// What it was believed to have room for.
        room: u32,
        /// How old that belief was.
        age: Span,
    },
    /// A task was started at an executor.
    Start {
        /// The run.
        run: CompactString,
        /// Where.
        executor: CompactString,
        /// How long it had waited at its keeper.
        waited: Span,
        /// Age of the reading of the executor's clock that the lease was reckoned by.
        clock_age: Span,
    },
    /// An executor refused a start.
    StartRefused {
        /// The run.
        run: CompactString,
        /// Where.
        executor: CompactString,
        /// Why.
        why: Refusal,
    },
    /// A run ended otherwise than well.
    RunEnded {
        /// The run.
        run: CompactString,
        /// Where.
        executor: CompactString,
        /// How, as the executor or the lack of an answer says.
        how: Ending,
        /// How long it ran.
        after: Span,
    },
    /// A run was stopped.
    StopRun {
        /// The run.
        run: CompactString,
        /// Where.
        executor: CompactString,
        /// Why.
        why: StopCause,
    },
    /// A task goes on with another run, or its job ends here.
    TaskEnded {
        /// The caller's name of the job.
        job: CompactString,
        /// Position of the task.
        index: u16,
        /// Its run.
        run: u32,
        /// How its keeper says it ended.
        end: End,
        /// How often it has failed.
        failures: u16,
        /// Whether another run follows.
        again: bool,
    },
    /// A caller was answered.
    Answer {
        /// The caller's name of the job.
        job: CompactString,
        /// The caller's id of the request.
        request: CompactString,
        /// The answer.
        answer: &'static str,
        /// Why.
        why: Reason,
        /// Time since the job arrived here.
        after: Span,
        /// The part of it before any task was sent to a keeper.
        waited: Span,
        /// Time by which it is late; zero if it is not.
        late_by: Span,
        /// Jobs that wait here.
        waiting: usize,
        /// Room at all keepers, as far as known.
        room: u32,
    },
    /// A caller left before its answer.
    Left {
        /// The caller's name of the job.
        job: CompactString,
        /// The caller's id of the request.
        request: CompactString,
        /// Tasks that had been sent to keepers.
        placed: usize,
    },
    /// This entry begins or ceases to keep an executor.
    Keep {
        /// The executor.
        executor: CompactString,
        /// What changed.
        change: KeepChange,
        /// The fencing token.
        token: u64,
        /// Runs that are there.
        runs: usize,
    },
    /// An executor's use changed.
    Health {
        /// The executor.
        executor: CompactString,
        /// What changed.
        change: CompactString,
    },
    /// The entries that share the executors changed.
    Members {
        /// How many there are.
        members: usize,
        /// Those that the store lists.
        listed: usize,
        /// The revision of the store.
        revision: u64,
    },
    /// This entry begins or ceases to read the registrations of executors.
    Follow {
        /// Whether it reads them now.
        executors: bool,
    },
    /// The data centres under cordon changed.
    Cordon {
        /// Those under cordon now.
        data_centres: Vec<DataCentreId>,
        /// The revision of the store that this was read at.
        revision: Revision,
        /// Who said so.
        source: Source,
    },
    /// The process did not run for a while.
    Paused {
        /// For how long.
        span: Span,
    },
}

fn text<S: Serializer>(value: &impl fmt::Display, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// How a run ended, and how that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// The executor listed the end.
    Listed(How),
    /// The executor lists the run no longer, nor its end.
    Missing,
    /// The executor was silent until its lease must have lapsed.
    LeaseOver,
    /// The executor's life is over.
    ExecutorGone,
    /// Another entry keeps the executor now.
    Fenced,
}

/// Why a run was stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopCause {
    /// The answer is no longer wanted.
    Cancelled,
    /// The job's home can't be reached.
    HomeLost,
    /// The start was not answered and is not listed.
    StartLost,
    /// It took several times its estimate.
    Overdue,
    /// This entry found it and knows nothing of it.
    Unknown,
}

/// Why a caller got its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// All tasks ended well.
    AllDone,
    /// A task failed as often as it may.
    Failures,
    /// Executors crashed under one of its tasks.
    ExecutorsLost,
    /// It could not start in time.
    NoRoomInTime,
    /// Too much waited when it came.
    Overload,
    /// All executors that could run its tasks are under cordon.
    Cordoned,
    /// A run was lost and another would end too late.
    LostTooLate,
    /// Time ran out while tasks ran.
    OutOfTime,
    /// The process did not run for a while.
    Paused,
}

/// Who told an entry something about the site.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another entry.
    Peer,
}

/// What changed about an executor's keeping.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeepChange {
    /// The former keeper is asked to hand it over.
    Claim,
    /// It is looked at before its first use.
    Look,
    /// It is in use.
    Ready,
    /// It was handed over to another entry.
    Yield,
    /// Another entry holds it with a higher token.
    Fenced,
    /// It is gone from the platform's list, or another life answered.
    Gone,
    /// It has begun a new life.
    Reborn,
    /// It does not answer.
    Silent,
    /// It answers again.
    Answers,
}
