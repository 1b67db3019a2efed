//! JSON format of jobs and their answers.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};
use site::{
    id::SubmissionId,
    submission::Outcome,
    unit::{Resources, Span},
};

/// A job to submit.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Name of the service.
    pub service: CompactString,
    /// Name of the crew; `None` for the firm's default crew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crew: Option<CompactString>,
    /// Identifier of a submission that may have been sent before. If absent, the client creates
    /// one.
    #[serde(default, skip_serializing, deserialize_with = "id")]
    pub id: Option<SubmissionId>,
    /// Whether a task may run again, if the service allows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Time until the answer is no longer needed; `None` for the client's default.
    #[serde(default, skip_serializing)]
    pub deadline: Option<Span>,
    /// Tasks; at least one and at most [`site::submission::MAX_TASKS`].
    pub tasks: Vec<Task>,
}

/// A task of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Body for the endpoint: the content of a JSON string, or any other JSON value as it is.
    pub body: Box<RawValue>,
    /// Media type of the body; `None` for the default of its form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content_type: Option<CompactString>,
    /// Encoding of a body that is a string: `base64`, or `None` for plain text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub encoding: Option<CompactString>,
    /// Estimate of the resources that the task needs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub needs: Option<Resources>,
    /// Estimate of the run time of the task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_time: Option<Span>,
}

/// The complete answer to a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Complete {
    /// Identifier of the submission.
    pub id: CompactString,
    /// Outputs in the order of the tasks.
    pub outputs: Vec<Output>,
}

/// An endpoint's response to one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Output {
    /// HTTP status of the endpoint's response.
    pub status: u16,
    /// Media type of the body.
    pub content_type: CompactString,
    /// A JSON value, or a string with the given `encoding`.
    pub body: Value,
    /// `base64` for a body that is not JSON, otherwise `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub encoding: Option<CompactString>,
}

/// Result of a fetch.
#[derive(Clone, Debug)]
pub enum Fetched {
    /// The complete answer.
    Complete(Complete),
    /// There is no answer yet.
    Pending,
}

/// Result of a cancellation.
#[derive(Clone, Debug)]
pub enum Cancelled {
    /// The job was cancelled, with this outcome.
    Ended(Outcome),
    /// The job was complete before; this is its answer.
    Complete(Complete),
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Number of tasks in the job.
    pub tasks: u16,
    /// Number of tasks with a result.
    pub done: u16,
    /// Whether the final answer is ready.
    pub finished: bool,
}

fn id<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Option<SubmissionId>, D::Error> {
    let text = Option::<CompactString>::deserialize(deserializer)?;
    text.map(|text| text.parse().map_err(serde::de::Error::custom)).transpose()
}
