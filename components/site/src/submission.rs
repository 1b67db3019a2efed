//! Submissions of callers and the answers to them.

use crate::{
    id::{CrewId, FirmId, ServiceId, SubmissionId},
    unit::{Resources, Span},
};
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a submission.
pub const MAX_TASKS: usize = 780;

/// Whether a submission is a job or a single request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Many tasks; a task never starts twice, whatever fails.
    Job,
    /// One task whose body and answer are passed through unchanged.
    Single,
}

/// A job or a single request, as a caller sends it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifies the submission and its home. A resubmission has the same identifier.
    pub id: SubmissionId,
    /// Whether it is a job or a single request.
    pub kind: Kind,
    /// The firm that is charged.
    pub firm: FirmId,
    /// The crew of the firm that submits it.
    pub crew: CrewId,
    /// The service that runs its tasks.
    pub service: ServiceId,
    /// Whether a task may run again after an attempt that may have run.
    pub repeatable: bool,
    /// Time left until the caller stops waiting, measured from the event that contains this.
    pub deadline: Span,
    /// The tasks: at least one and at most [`MAX_TASKS`].
    pub tasks: Vec<Task>,
}

/// One task of a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// Body of the request, passed to the endpoint unchanged.
    pub body: Bytes,
    /// Media type of the body.
    pub content_type: CompactString,
    /// Resources that the task needs according to the caller; a hint.
    pub needs: Resources,
    /// Run time of the task according to the caller; a hint. Zero if unknown.
    pub run_time: Span,
}

/// An endpoint's answer to one task.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// HTTP status of the endpoint's answer.
    pub status: u16,
    /// Media type of the body.
    pub content_type: CompactString,
    /// The complete body.
    pub body: Bytes,
}

/// The final answer to a submission. Never partial.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Every task ran and was answered; the outputs are in the order of the tasks.
    Complete(Vec<Output>),
    /// The submission failed.
    Failed(Failure),
}

/// Whether a failed submission may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// None of its tasks ran or will run.
    NotRun,
    /// Some of its tasks may have run.
    MayHaveRun,
    /// It ran and failed.
    RanAndFailed,
}

/// Why a submission failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The deadline passed.
    Deadline,
    /// It was rejected because it could not have met its deadline.
    Overload,
    /// The firm's quota or queue is full.
    Quota,
    /// No endpoint is large enough to run it.
    Impossible,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The caller cancelled it.
    Cancelled,
    /// The home has ended.
    HomeGone,
    /// The home is unreachable at present.
    HomeUnreachable,
    /// The entry is draining.
    Draining,
    /// The platform's key-value service is unavailable, and this request needs it.
    PlatformOut,
    /// The identifier was used before with different content.
    Conflict,
    /// The identifier is unknown.
    Unknown,
    /// The identifier is too old to be admitted, or its answer is no longer kept.
    Expired,
    /// No service has this name, or the firm has no contract for it.
    NoContract,
    /// There are no tasks or too many, or a body is too large.
    Size,
    /// An endpoint answered a task with a failure.
    Endpoint,
}

/// The answer to a failed submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// Whether any of it may have run.
    pub outcome: Outcome,
    /// Why it failed.
    pub reason: Reason,
    /// Time after which the caller may retry; `None` if a retry would not help.
    pub retry_after: Option<Span>,
}
