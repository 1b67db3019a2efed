//! What entries say to each other.

use crate::action::Status;
use serde::{Deserialize, Serialize};
use site::{
    id::{EndpointId, FirmId, Home, ServiceId, SubmissionId},
    submission::{Answer, Failure, Submission},
    unit::{Resources, Revision, Slots, Span},
};
use std::sync::Arc;

/// Numbers a request of one entry to another; the answer carries it back.
pub type RequestId = u64;

/// A message between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Submit at the home. The home answers with [`Message::Answered`]. Sending it again is
    /// harmless.
    Submit {
        /// Chosen by the sender.
        request: RequestId,
        /// The submission; its deadline is what is left of it.
        submission: Arc<Submission>,
    },
    /// Wait for the answer of a submission.
    Fetch {
        /// Chosen by the sender.
        request: RequestId,
        /// The submission.
        id: SubmissionId,
        /// Who asks.
        firm: FirmId,
        /// Time left until the caller stops waiting.
        deadline: Span,
    },
    /// Cancel a submission.
    Cancel {
        /// Chosen by the sender.
        request: RequestId,
        /// The submission.
        id: SubmissionId,
        /// Who asks.
        firm: FirmId,
    },
    /// Ask how far a submission has come. The home answers with [`Message::Progress`].
    Query {
        /// Chosen by the sender.
        request: RequestId,
        /// The submission.
        id: SubmissionId,
        /// Who asks.
        firm: FirmId,
    },
    /// How far a submission has come.
    Progress {
        /// The number of the request.
        request: RequestId,
        /// `None` when the identifier is unknown or another firm's.
        status: Option<Status>,
    },
    /// The final answer to a submission, fetch or cancellation.
    Answered {
        /// The number of the request.
        request: RequestId,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// The sender has tasks without capacity and asks the receiver to lend some.
    CapacityRequest(CapacityRequest),
    /// The sender lends capacity that it keeps.
    Lend(Lend),
    /// The sender gives back capacity that it borrowed.
    Return(ServiceGrants),
    /// The sender has tasks running on capacity that the receiver keeps since the members of the
    /// data centre changed.
    InUse(ServiceGrants),
    /// How many tasks of a firm with a quota run at the sender, when it changed.
    Usage(Usage),
    /// The sender lives. Sent at a fixed interval inside a data centre.
    Heartbeat(Heartbeat),
    /// A part of a stopping home's table.
    Handover(Handover),
    /// The receiver of a handover has stored everything up to and including this part.
    HandoverStored {
        /// The home whose table it is.
        home: Home,
        /// The part.
        part: u32,
    },
    /// The table of a home that has stopped is now kept by another.
    Moved {
        /// The home that stopped.
        home: Home,
        /// Who keeps its table.
        successor: Home,
    },
    /// Asks for settings newer than a revision.
    SettingsWanted {
        /// What the sender has; 0 for none.
        have: Revision,
    },
    /// A part of accepted settings.
    Settings(Settings),
}

/// A wish for capacity of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapacityRequest {
    /// What for.
    pub service: ServiceId,
    /// Tasks queued without capacity; zero withdraws the wish.
    pub tasks: u32,
    /// Tasks that the sender's capacity could run at one time, kept and borrowed.
    pub held: u32,
    /// What the largest of them needs.
    pub needs: Resources,
    /// Demand of each firm at the sender, so that the keeper can weigh it.
    pub demand: Vec<Demand>,
}

/// What a firm wants at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The firm.
    pub firm: FirmId,
    /// Its jobs with queued or running tasks.
    pub jobs: u32,
}

/// Capacity that a keeper lends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// What for.
    pub service: ServiceId,
    /// The capacity. The borrower may use it until it gives it back or loses its connection to the
    /// keeper.
    pub grants: Vec<Grant>,
}

/// Capacity that goes back to its keeper, or that a new keeper must count as lent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceGrants {
    /// What it was lent for.
    pub service: ServiceId,
    /// The capacity.
    pub grants: Vec<Grant>,
}

/// Capacity of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How much of it.
    pub resources: Resources,
}

/// Tasks of a firm that run at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool.
    pub service: ServiceId,
    /// The firm.
    pub firm: FirmId,
    /// Tasks running now.
    pub running: Slots,
}

/// A sign of life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Settings in force at the sender.
    pub revision: Revision,
    /// The epoch of identifiers at the sender.
    pub epoch: u32,
    /// The sender admits nothing more.
    pub draining: bool,
    /// Homes whose tables the sender keeps.
    pub adopted: Vec<Home>,
}

/// A part of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The home whose table it is.
    pub home: Home,
    /// Counts from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// The tables that all parts together hold: the sender's own and those that it had taken over.
    pub tables: Vec<HomeTable>,
    /// Finished submissions.
    pub records: Vec<Record>,
}

/// A table that changes hands.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeTable {
    /// Whose it was first.
    pub home: Home,
    /// The first epoch that it remembers whole.
    pub first_epoch: u32,
}

/// A finished submission in a handover.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The submission.
    pub id: SubmissionId,
    /// Whose.
    pub firm: FirmId,
    /// Digest of its content, by which a reuse of the identifier is noticed.
    pub content: u64,
    /// The final answer, or what is known when the answer itself is no longer kept.
    pub answer: Result<Arc<Answer>, Failure>,
}

/// A part of accepted settings: the files that differ from an earlier revision, as the operators
/// wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Their revision.
    pub revision: Revision,
    /// Files that are the same in this revision are left out; 0 when all files are sent.
    pub base: Revision,
    /// Counts from 0.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// Name and content of each file.
    pub files: Vec<(String, Vec<u8>)>,
    /// Names of the base's files that are gone.
    pub removed: Vec<String>,
}
