//! What an entry is told.

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
        /// Who waits for the answer.
        waiter: WaiterId,
        /// The submission; its home may be another entry.
        submission: Arc<Submission>,
    },
    /// A caller submits under a key of its own making. Answered by one [`crate::Action::Answer`].
    SubmitKeyed {
        /// Who waits for the answer.
        waiter: WaiterId,
        /// The caller's key; keys of different firms are different.
        key: CompactString,
        /// Whether the caller says that it never used the key before.
        first: bool,
        /// The submission under a fresh identifier, used if the key is new.
        submission: Arc<Submission>,
    },
    /// A caller waits for the answer of a submission. Answered by one [`crate::Action::Answer`].
    Fetch {
        /// Who waits.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
        /// Who asks; only the submitting firm gets the answer.
        firm: FirmId,
        /// Time left until the caller stops waiting; bounds how long another entry is waited for.
        deadline: Span,
    },
    /// A caller asks how far a submission has come. Answered by [`crate::Action::Status`].
    Query {
        /// Who waits.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
        /// Who asks.
        firm: FirmId,
    },
    /// A caller cancels a submission. Answered by one [`crate::Action::Answer`]: the final answer,
    /// which is the real one when the cancellation came too late.
    Cancel {
        /// Who waits for the answer.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
        /// Who asks; only the submitting firm may cancel.
        firm: FirmId,
    },
    /// A caller no longer waits. Its submission goes on.
    Abandon {
        /// Who waited.
        waiter: WaiterId,
        /// For the answer of which submission.
        id: SubmissionId,
    },
    /// An attempt ended. Follows each [`crate::Action::Start`] exactly once.
    Report(Report),
    /// Usage that a worker measured for a running attempt.
    Usage {
        /// The attempt.
        attempt: AttemptId,
        /// What it occupies.
        measured: Resources,
    },
    /// A peer sent a message. Messages of one connection arrive in the order they were sent.
    Message {
        /// The sender, authenticated.
        from: Home,
        /// What it says.
        message: Message,
    },
    /// A connection to a peer came up.
    PeerUp {
        /// The peer.
        peer: Home,
    },
    /// The connection to a peer is lost. What was sent may or may not have arrived.
    PeerDown {
        /// The peer.
        peer: Home,
    },
    /// The outcome of an [`crate::Action::Claim`]. Follows each exactly once.
    Claimed {
        /// The waiter of the claim.
        waiter: WaiterId,
        /// What became of it.
        result: ClaimResult,
    },
    /// Accepted settings. Older revisions than the current are ignored.
    Settings {
        /// Grows with each accepted change.
        revision: Revision,
        /// The whole site.
        site: Arc<Site>,
    },
    /// The entries registered with the platform, a lagging list. Absence proves nothing.
    Registry {
        /// The registered processes.
        entries: Vec<Home>,
    },
    /// The platform's lagging list of VMs, as far as it concerns entries and endpoints.
    Machines {
        /// Entries whose VM the list no longer holds.
        gone: Vec<EntryId>,
        /// Endpoints that the list marks as leaving.
        leaving: Vec<EndpointId>,
    },
    /// Stop: admit nothing more, finish what was admitted, hand the table over, then
    /// [`crate::Action::Exit`].
    Drain,
    /// Time has passed; see [`crate::Entry::next_timer`].
    Tick,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Report {
    /// The attempt.
    pub attempt: AttemptId,
    /// What is known about it.
    pub reply: Reply,
    /// The endpoint says that it is leaving.
    pub leaving: bool,
    /// From the start action to the end.
    pub elapsed: Span,
}

/// What is known about an ended attempt. The transport decides which; nothing else does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// It ran and answered.
    Done(Output),
    /// It ran and ended in a failure.
    Failed(Output),
    /// The endpoint refused it and says that it did not run it.
    Refused(Refusal),
    /// No byte of it left this process.
    NotSent,
    /// It was sent, no whole answer came back, and it is over: the endpoint gave it up.
    Lost,
    /// It was sent and nothing more is known; it may still run.
    Silent,
    /// The time limit passed without a whole answer.
    TimedOut,
}

/// Why an endpoint refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// All slots are taken.
    Busy,
    /// It is leaving.
    Leaving,
    /// Anything else.
    Other,
}

/// What became of a claim on a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The key now belongs to the proposed identifier.
    Won(SubmissionId),
    /// The key already belonged to this identifier.
    Taken(SubmissionId),
    /// The platform can't be asked, or its answer stays unknown. Nothing was admitted.
    Unavailable,
}
