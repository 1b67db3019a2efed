//! Executors, and what they say.

use crate::{clock::Remote, job::Run};
use compact_str::CompactString;
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use site::{
    id::{DataCentreId, EndpointId, ServiceId},
    unit::Resources,
};
use std::net::SocketAddr;

/// When a life of an executor began, in milliseconds since 1970 by its own clock.
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
pub struct Birth(pub u64);

/// An executor. After a crash it comes back under another name, or under the same one with another
/// birth.
#[derive(Clone, Debug, PartialEq)]
pub struct Executor {
    /// Identifies it.
    pub id: EndpointId,
    /// The name that `id` is made of.
    pub name: CompactString,
    /// Tells its lives apart; `None` where the platform gives each life a name of its own.
    pub born: Option<Birth>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Whose tasks it runs.
    pub service: ServiceId,
    /// What its tasks may use together.
    pub capacity: Resources,
    /// What it offers besides.
    pub labels: Vec<CompactString>,
    /// It is leaving and must get no new work.
    pub leaving: bool,
}

/// What all executors of a service have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// The service.
    pub id: ServiceId,
    /// Its executors refuse what they have no room for. Others start whatever they are told to.
    pub guards_capacity: bool,
}

/// How a start was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Started {
    /// The run is there.
    Running {
        /// The executor's clock.
        clock: Remote,
    },
    /// The executor refused; nothing runs because of this start.
    Refused {
        /// The executor's clock, if it said so.
        clock: Option<Remote>,
        /// Why.
        why: Refusal,
    },
    /// Nothing of it left this process.
    Unsent,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
    /// Another life of the executor answered, so this one is over.
    Gone,
}

/// Why an executor refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Another entry holds the executor with a higher fencing token.
    Fenced,
    /// A run with this number or a higher one has ended or was stopped there.
    OldRun,
    /// The deadline had passed.
    Late,
    /// No room.
    Room,
    /// The executor is unhealthy.
    Unhealthy,
    /// The executor can't make sense of the start.
    Invalid,
}

/// How a look or a stop was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answered<T> {
    /// It was carried out.
    Done(T),
    /// Another entry holds the executor with a higher fencing token.
    Fenced,
    /// No answer, or none that makes sense.
    Silent,
    /// Another life of the executor answered, so this one is over.
    Gone,
}

/// What an executor lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lists {
    /// The executor's clock.
    pub clock: Remote,
    /// The life that answers, where lives share a name.
    pub born: Option<Birth>,
    /// Runs that are there.
    pub running: Vec<Run>,
    /// Ends that were not acknowledged yet, in order.
    pub ended: Vec<Ended>,
}

/// One end in an executor's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// Counts the ends of this life of the executor, from 1.
    pub number: u64,
    /// What ended; `None` for a task that is none of ours.
    pub run: Option<Run>,
    /// How.
    pub how: How,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// Well.
    Done,
    /// It failed, through its own fault or the executor's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The executor's lease lapsed.
    Lapsed,
}

impl<T> Answered<T> {
    /// The same with another content.
    pub fn map<U>(self, content: impl FnOnce(T) -> U) -> Answered<U> {
        match self {
            Answered::Done(value) => Answered::Done(content(value)),
            Answered::Fenced => Answered::Fenced,
            Answered::Silent => Answered::Silent,
            Answered::Gone => Answered::Gone,
        }
    }
}
