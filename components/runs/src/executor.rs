//! Executors and their responses to orders.

use crate::{clock::RemoteTime, job::Run};
use compact_str::CompactString;
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use site::{
    id::{DataCentreId, EndpointId, ServiceId},
    unit::Resources,
};
use std::net::SocketAddr;

/// One incarnation of an executor, identified by its start time in milliseconds since 1970 by the
/// executor's own clock.
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
pub struct Incarnation(pub u64);

/// The kind of machine that an executor runs on. Executors of one kind are expected to be equally
/// fast.
#[derive(
    Clone, Debug, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Kind(pub CompactString);

/// An executor. After a crash it returns under another name, or under the same name with another
/// incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct Executor {
    /// Derived from the name.
    pub id: EndpointId,
    /// The registered name.
    pub name: CompactString,
    /// Its current incarnation; `None` where the platform gives each incarnation a name of its own.
    pub incarnation: Option<Incarnation>,
    /// The address that it takes orders on.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// The resources that its tasks may use in total.
    pub capacity: Resources,
    /// The kind of its machine; `None` if the platform does not tell.
    pub kind: Option<Kind>,
    /// Labels that jobs can require.
    pub labels: Vec<CompactString>,
    /// Whether it is stopping and must get no new work.
    pub leaving: bool,
}

/// Properties common to all executors of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Service {
    /// Identifies the service.
    pub id: ServiceId,
    /// Whether its executors refuse a start that they have no room for. Otherwise they start
    /// every task that they are ordered to.
    pub guards_capacity: bool,
}

/// An executor's response to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartResponse {
    /// The run was started, or was running already.
    Running {
        /// The executor's clock.
        clock: RemoteTime,
    },
    /// The executor refused; nothing runs because of this start.
    Refused {
        /// The executor's clock, if the response contained it.
        clock: Option<RemoteTime>,
        /// The executor's reason.
        why: Refusal,
    },
    /// No part of the order left this process.
    Unsent,
    /// No response: the order may have been carried out, or may still be.
    Unknown,
    /// Another incarnation of the executor responded, so the one that was addressed has ended.
    Gone,
}

/// Why an executor refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Another entry holds the executor with a higher fencing token.
    Fenced,
    /// A run of the task with this number or a higher one has ended or was stopped there.
    OldRun,
    /// The lease deadline of the start had passed.
    Late,
    /// The executor has no room for the task.
    Room,
    /// The executor is unhealthy.
    Unhealthy,
    /// The executor considers the start invalid.
    Invalid,
}

/// An executor's response to a poll or a stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response<T> {
    /// The order was carried out.
    Done(T),
    /// Another entry holds the executor with a higher fencing token.
    Fenced,
    /// No response, or an invalid one.
    Silent,
    /// Another incarnation of the executor responded, so the one that was addressed has ended.
    Gone,
}

/// What runs on an executor, and what has ended there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// The executor's clock.
    pub clock: RemoteTime,
    /// The incarnation that responded; `None` where each incarnation registers under a name of its
    /// own.
    pub incarnation: Option<Incarnation>,
    /// Runs that have not ended.
    pub running: Vec<Run>,
    /// Ends that are not acknowledged yet, in order.
    pub ended: Vec<Ended>,
}

/// The end of a run, as listed by its executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// Sequence number of the end in this incarnation of the executor, from 1.
    pub number: u64,
    /// The run that ended; `None` if its task name is not one of this dispatcher's.
    pub run: Option<Run>,
    /// How the run ended.
    pub result: RunResult,
}

/// How a run ended, as reported by its executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunResult {
    /// It completed.
    Done,
    /// It failed, because of the task or the executor.
    Failed,
    /// It was stopped.
    Stopped,
    /// The executor's lease expired.
    Lapsed,
}

impl<T> Response<T> {
    /// Maps the content of a successful response.
    pub fn map<U>(self, content: impl FnOnce(T) -> U) -> Response<U> {
        match self {
            Response::Done(value) => Response::Done(content(value)),
            Response::Fenced => Response::Fenced,
            Response::Silent => Response::Silent,
            Response::Gone => Response::Gone,
        }
    }
}
