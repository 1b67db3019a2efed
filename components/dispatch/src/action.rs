//! Actions that the decision logic asks its caller to carry out, and the decision log.

use crate::Message;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use site::{
    id::{
        AttemptId, DataCentreId, EndpointId, FirmId, Home, ServiceId, SubmissionId, TaskId,
        WaiterId,
    },
    submission::{Answer, Submission},
    unit::{Resources, Span},
};
use std::sync::Arc;

/// Something to be done outside the decision logic.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a task to an endpoint. Answered by exactly one [`crate::event::Report`].
    Start(Start),
    /// Stop an attempt whose output is no longer needed, if the endpoint supports it. Its report
    /// still follows.
    Stop {
        /// The attempt to stop.
        attempt: AttemptId,
        /// Endpoint on which it runs.
        endpoint: EndpointId,
    },
    /// Send a caller its final answer.
    Answer {
        /// Caller to answer.
        waiter: WaiterId,
        /// The submission that the answer belongs to.
        id: SubmissionId,
        /// The final answer: outputs of all tasks, or a failure.
        answer: Arc<Answer>,
    },
    /// Send a caller the status of its submission.
    Status {
        /// Caller to answer.
        waiter: WaiterId,
        /// `None` when the identifier is unknown here or belongs to another firm.
        status: Option<Status>,
    },
    /// Send a message to a peer. If there is no connection, one is opened or the message is
    /// dropped; a dropped message is reported by [`crate::Event::PeerDown`].
    Send {
        /// The receiver.
        to: Home,
        /// The message.
        message: Message,
    },
    /// Claim an idempotency key for an identifier by compare-and-swap. Answered by exactly one
    /// [`crate::Event::Claimed`].
    Claim {
        /// Caller for which the key is claimed.
        waiter: WaiterId,
        /// Firm that the key belongs to.
        firm: FirmId,
        /// The caller's key.
        key: CompactString,
        /// Identifier that the key should stand for.
        id: SubmissionId,
        /// Identifier of a submission that was rejected for good; a claim that holds it is
        /// replaced.
        replaces: Option<SubmissionId>,
        /// Time after which the claim is given up.
        time_limit: Span,
    },
    /// Write a line to the decision log.
    Log(Decision),
    /// Exit the process: the drain has finished, nothing is open and the table is handed over.
    Exit,
}

/// Order to send a task to an endpoint.
#[derive(Clone, Debug)]
pub struct Start {
    /// Identifier of the attempt, repeated in its report.
    pub attempt: AttemptId,
    /// Endpoint to send the task to.
    pub endpoint: EndpointId,
    /// The task.
    pub task: TaskId,
    /// The submission; the task's body is at `task.index`.
    pub submission: Arc<Submission>,
    /// Resources reserved for the task.
    pub needs: Resources,
    /// Time after which [`crate::event::Reply::TimedOut`] must be reported.
    pub time_limit: Span,
}

/// Progress of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Number of tasks of the submission.
    pub tasks: u16,
    /// Number of tasks that have completed.
    pub done: u16,
    /// Whether the final answer is available.
    pub finished: bool,
}

/// A routing or placement decision and its reason, for the decision log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum Decision {
    /// A submission was admitted.
    Admit {
        /// The submission.
        id: SubmissionId,
        /// Firm of the submission.
        firm: FirmId,
        /// The requested service.
        service: ServiceId,
        /// Number of tasks of the submission.
        tasks: u16,
        /// Expected time until the final answer.
        expected: Span,
        /// Number of tasks that were queued before it was added.
        queued: u32,
    },
    /// A submission was rejected, or ended with a failure.
    Refuse {
        /// The submission.
        id: SubmissionId,
        /// Firm of the submission.
        firm: FirmId,
        /// The failure sent to the caller.
        failure: site::submission::Failure,
    },
    /// A request was forwarded to the submission's home or another entry.
    Forward {
        /// The submission.
        id: SubmissionId,
        /// Entry that it was forwarded to.
        to: Home,
    },
    /// A task was placed on an endpoint.
    Place {
        /// The task.
        task: TaskId,
        /// Firm of the submission.
        firm: FirmId,
        /// Endpoint that the task was placed on.
        endpoint: EndpointId,
        /// Number of the attempt, counted from 1.
        attempt: u8,
        /// Whether this entry keeps the endpoint or borrowed its capacity.
        source: Source,
        /// Number of tasks still queued.
        queued: u32,
        /// Free slots of the open endpoints that this entry may use, after the placement.
        candidates: u32,
    },
    /// An attempt ended without an output for its task.
    Retry {
        /// The task.
        task: TaskId,
        /// Endpoint of the failed attempt.
        endpoint: EndpointId,
        /// Number of attempts made so far.
        attempt: u8,
        /// Whether another attempt follows.
        again: bool,
    },
    /// Capacity was lent to a peer.
    Lend {
        /// The borrower.
        to: Home,
        /// Service that the capacity is for.
        service: ServiceId,
        /// Number of slots lent.
        slots: u32,
    },
    /// An endpoint was opened or closed for new work.
    Isolate {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the endpoint may get work now.
        open: bool,
        /// Reason for the change.
        cause: Cause,
    },
    /// The live entries of the cluster were determined again.
    Members {
        /// Data centre of this entry.
        data_centre: DataCentreId,
        /// Number of live entries.
        live: u32,
    },
}

/// Whether the capacity a task was placed on was kept or borrowed by the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// This entry keeps the endpoint.
    Kept,
    /// The endpoint's keeper lent the capacity.
    Lent,
}

/// Reason why an endpoint was opened or closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Recent attempts on it failed.
    Failures,
    /// It is opened to be probed.
    Probe,
    /// It responds again.
    Recovered,
    /// It is leaving.
    Leaving,
}
