//! Messages between entries.

use crate::action::Status;
use serde::{Deserialize, Serialize};
use site::{
    id::{EndpointId, FirmId, Home, ServiceId, SubmissionId},
    submission::{Answer, Failure, Submission},
    unit::{Resources, Revision, Slots, Span},
};
use std::sync::Arc;

/// Number of a request from one entry to another; the response repeats it.
pub type RequestId = u64;

/// A message between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Submit at the home. The home responds with [`Message::Answered`]. A repeated message has no
    /// further effect.
    Submit {
        /// Number chosen by the sender.
        request: RequestId,
        /// The submission; its deadline is the time left.
        submission: Arc<Submission>,
    },
    /// Wait for the answer of a submission. The home responds with [`Message::Answered`].
    Fetch {
        /// Number chosen by the sender.
        request: RequestId,
        /// The submission.
        id: SubmissionId,
        /// Firm of the caller.
        firm: FirmId,
        /// Time left until the caller stops waiting.
        deadline: Span,
    },
    /// Cancel a submission. The home responds with [`Message::Answered`].
    Cancel {
        /// Number chosen by the sender.
        request: RequestId,
        /// The submission.
        id: SubmissionId,
        /// Firm of the caller.
        firm: FirmId,
    },
    /// Request the status of a submission. The home responds with [`Message::Progress`].
    Query {
        /// Number chosen by the sender.
        request: RequestId,
        /// The submission.
        id: SubmissionId,
        /// Firm of the caller.
        firm: FirmId,
    },
    /// Status of a submission.
    Progress {
        /// Number of the request.
        request: RequestId,
        /// `None` when the identifier is unknown or belongs to another firm.
        status: Option<Status>,
    },
    /// The final answer to a submission, fetch or cancellation.
    Answered {
        /// Number of the request.
        request: RequestId,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// The sender has queued tasks without capacity and asks the receiver to lend some.
    CapacityRequest(CapacityRequest),
    /// The sender lends capacity that it keeps.
    Lend(Lend),
    /// The sender returns capacity that it borrowed.
    Return(ServiceGrants),
    /// The sender has tasks running on capacity whose keeper, after a change of members, is now the
    /// receiver.
    InUse(ServiceGrants),
    /// Number of tasks of a firm with a quota that run at the sender. Sent when it has changed.
    Usage(Usage),
    /// Heartbeat. Sent at a fixed interval inside a data centre.
    Heartbeat(Heartbeat),
    /// A part of a draining home's table.
    Handover(Handover),
    /// Confirms that the receiver of a handover has stored everything up to and including this
    /// part.
    HandoverStored {
        /// Home that the table belongs to.
        home: Home,
        /// Number of the part.
        part: u32,
    },
    /// The table of a home that has stopped is now held by another entry.
    Moved {
        /// The home that stopped.
        home: Home,
        /// Entry that holds its table.
        successor: Home,
    },
    /// Requests settings newer than a revision.
    SettingsWanted {
        /// Revision that the sender has; 0 for none.
        have: Revision,
    },
    /// A part of accepted settings.
    Settings(Settings),
}

/// A request for capacity of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityRequest {
    /// Service that the capacity is for.
    pub service: ServiceId,
    /// Number of tasks queued without capacity; zero withdraws the request.
    pub tasks: u32,
    /// Number of tasks that the sender's capacity, kept and borrowed, could run at one time.
    pub held: u32,
    /// Resources that one task needs, taken from the task at the head of the queue.
    pub needs: Resources,
    /// Demand of each firm at the sender, by which the keeper weighs the request.
    pub demand: Vec<Demand>,
}

/// Demand of a firm at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The firm.
    pub firm: FirmId,
    /// Number of its jobs with queued or running tasks.
    pub jobs: u32,
}

/// Capacity that a keeper lends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// Service that the capacity is for.
    pub service: ServiceId,
    /// The capacity. The borrower may use it until it returns it or loses its connection to the
    /// keeper.
    pub grants: Vec<Grant>,
}

/// Capacity of one service that is returned to its keeper, or that a new keeper must count as lent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceGrants {
    /// Service that the capacity was lent for.
    pub service: ServiceId,
    /// The capacity.
    pub grants: Vec<Grant>,
}

/// Capacity of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Resources granted of it.
    pub resources: Resources,
}

/// Usage of a firm's quota at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool.
    pub service: ServiceId,
    /// The firm.
    pub firm: FirmId,
    /// Number of running tasks.
    pub running: Slots,
}

/// A periodic message that shows that the sender is live.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Revision of the settings in force at the sender.
    pub revision: Revision,
    /// Current epoch of identifiers at the sender.
    pub epoch: u32,
    /// Whether the sender is draining and admits nothing more.
    pub draining: bool,
    /// Homes whose tables the sender has taken over.
    pub adopted: Vec<Home>,
}

/// A part of a table that is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Home that the table belongs to.
    pub home: Home,
    /// Number of the part, counted from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// The tables that all parts together contain: the sender's own and those that it had taken
    /// over.
    pub tables: Vec<HomeTable>,
    /// Finished submissions.
    pub records: Vec<Record>,
}

/// A home's submission table within a handover.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeTable {
    /// Home that the table belonged to at first.
    pub home: Home,
    /// First epoch for which the table is complete.
    pub first_epoch: u32,
}

/// A finished submission in a handover.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The submission.
    pub id: SubmissionId,
    /// Firm of the submission.
    pub firm: FirmId,
    /// Digest of the submission's content, by which a reuse of the identifier is detected.
    pub content: u64,
    /// The final answer, or a failure that summarises it when the answer itself is no longer kept.
    pub answer: Result<Arc<Answer>, Failure>,
}

/// A part of accepted settings: the files that differ from an earlier revision, as the operators
/// wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Revision of the settings.
    pub revision: Revision,
    /// Revision against which unchanged files are left out; 0 when all files are sent.
    pub base: Revision,
    /// Number of the part, counted from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// Name and content of each file.
    pub files: Vec<(String, Vec<u8>)>,
    /// Names of the base's files that no longer exist.
    pub removed: Vec<String>,
}
