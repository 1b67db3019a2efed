//! Events that the decision logic handles.

use crate::Message;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use site::{
    Site,
    id::{AttemptId, EndpointId, EntryId, FirmId, Home, SubmissionId, WaiterId},
    submission::{Output, Submission},
    unit::{Resources, Revision, Span},
};
use std::sync::Arc;

/// Something that happened outside the decision logic.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits under an identifier made with a home token. Answered by one
    /// [`crate::Action::Answer`].
    Submit {
        /// Caller that waits for the answer.
        waiter: WaiterId,
        /// The submission; its home may be another entry.
        submission: Arc<Submission>,
    },
    /// A caller submits under an idempotency key of its own. Answered by one
    /// [`crate::Action::Answer`].
    SubmitKeyed {
        /// Caller that waits for the answer.
        waiter: WaiterId,
        /// The caller's key; keys are separate for each firm.
        key: CompactString,
        /// Whether the caller says that it has never used the key before.
        first: bool,
        /// The submission under a fresh identifier, which is used if the key is new.
        submission: Arc<Submission>,
    },
    /// A caller waits for the answer of a submission. Answered by one [`crate::Action::Answer`].
    Fetch {
        /// Caller that waits.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
        /// Firm of the caller; only the submitting firm gets the answer.
        firm: FirmId,
        /// Time left until the caller stops waiting; limits how long the answer of another entry is
        /// awaited.
        deadline: Span,
    },
    /// A caller requests the status of a submission. Answered by [`crate::Action::Status`].
    Query {
        /// Caller that waits.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
        /// Firm of the caller.
        firm: FirmId,
    },
    /// A caller cancels a submission. Answered by one [`crate::Action::Answer`]: the final answer,
    /// which is the regular one if the cancellation came too late.
    Cancel {
        /// Caller that waits for the answer.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
        /// Firm of the caller; only the submitting firm may cancel.
        firm: FirmId,
    },
    /// A caller no longer waits. Its submission continues.
    Abandon {
        /// Caller that waited.
        waiter: WaiterId,
        /// Submission whose answer it waited for.
        id: SubmissionId,
    },
    /// An attempt ended. Follows each [`crate::Action::Start`] exactly once.
    Report(Report),
    /// Resource usage that a worker measured for a running attempt.
    Usage {
        /// The attempt.
        attempt: AttemptId,
        /// Resources in use.
        measured: Resources,
    },
    /// A peer sent a message. Messages of one connection arrive in the order in which they were
    /// sent.
    Message {
        /// The sender, authenticated by the connection.
        from: Home,
        /// The message.
        message: Message,
    },
    /// A connection to a peer was established.
    PeerUp {
        /// The peer.
        peer: Home,
    },
    /// The connection to a peer is lost. Messages sent over it may or may not have arrived.
    PeerDown {
        /// The peer.
        peer: Home,
    },
    /// Result of a [`crate::Action::Claim`]. Follows each one exactly once.
    Claimed {
        /// Caller for which the key was claimed.
        waiter: WaiterId,
        /// Result of the key claim.
        result: ClaimResult,
    },
    /// Accepted settings. Revisions older than the current one are ignored.
    Settings {
        /// Revision; grows with each accepted change.
        revision: Revision,
        /// The complete settings.
        site: Arc<Site>,
    },
    /// The entries registered with the platform. The list lags, so an absent entry may still be
    /// live.
    Registry {
        /// Registered processes.
        entries: Vec<Home>,
    },
    /// The platform's list of VMs, which lags, reduced to entries and endpoints.
    Machines {
        /// Entries whose VM is no longer on the list.
        gone: Vec<EntryId>,
        /// Endpoints that the list marks as leaving.
        leaving: Vec<EndpointId>,
    },
    /// Drain: admit nothing more, finish what was admitted, hand the table over, then emit
    /// [`crate::Action::Exit`].
    Drain,
    /// A timer is due; see [`crate::Entry::next_timer`].
    Tick,
}

/// Report of an ended attempt.
#[derive(Clone, Debug)]
pub struct Report {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub reply: Reply,
    /// Whether the endpoint reported that it is leaving.
    pub leaving: bool,
    /// Time from the start action to the end.
    pub elapsed: Span,
}

/// How an attempt ended, as far as this entry knows. Only the transport decides which variant
/// applies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It ran and completed with this output.
    Done(Output),
    /// It ran and failed with this output.
    Failed(Output),
    /// The endpoint refused it and reports that it did not run it.
    Refused(Refusal),
    /// No byte of it left this process.
    NotSent,
    /// It was sent, no complete response was received, and it no longer runs: the endpoint gave it
    /// up.
    Lost,
    /// It was sent and its state is unknown; it may still run.
    Silent,
    /// The time limit passed without a complete response.
    TimedOut,
}

/// Reason why an endpoint refused a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// All slots are taken.
    Busy,
    /// The endpoint is leaving.
    Leaving,
    /// Any other reason.
    Other,
}

/// Result of a key claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The key now stands for the proposed identifier.
    Won(SubmissionId),
    /// The key already stands for this other identifier.
    Taken(SubmissionId),
    /// The platform is unavailable or its response was lost, so it is unknown whether the key was
    /// claimed. Nothing was admitted.
    Unavailable,
}
