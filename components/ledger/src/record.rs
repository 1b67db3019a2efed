//! The table's record of one submission.

use crate::Job;
use serde::{Deserialize, Serialize};
use site::{
    id::{FirmId, Home, WaiterId},
    submission::{Answer, Failure, Output, Submission},
};
use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

/// A caller or peer that waits for an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Waiter {
    /// A caller connected to this entry.
    Caller(WaiterId),
    /// Another entry, on behalf of its caller.
    Peer {
        /// The entry that waits.
        home: Home,
        /// The number that it gave to the request.
        request: u64,
    },
}

/// The answer of a submission that has just finished, and its waiters.
#[derive(Clone, Debug)]
pub struct Finish {
    /// The final answer.
    pub answer: Arc<Answer>,
    /// The waiters to notify.
    pub waiters: Vec<Waiter>,
}

/// A submission in the table.
#[derive(Debug)]
pub struct Record {
    /// The firm that submitted it. Other firms can't see that it exists.
    pub firm: FirmId,
    /// Digest of the content, see [`content_digest`]; [`UNKNOWN_CONTENT`] if unknown.
    pub content_digest: u64,
    /// Whether the submission is open or finished, with its data.
    pub state: State,
}

/// State of a submission.
#[derive(Debug)]
pub enum State {
    /// At least one task has no output yet.
    Open(Open),
    /// The answer is fixed and never changes.
    Finished(StoredAnswer),
}

/// A submission without an answer.
#[derive(Debug)]
pub struct Open {
    /// The job, shared with its tasks.
    pub job: Arc<Job>,
    /// The output of each task; `remaining` of them are `None`.
    pub outputs: Vec<Option<Output>>,
    /// Number of tasks without output; at least one.
    pub remaining: u16,
    /// The waiters to notify when it finishes.
    pub waiters: Vec<Waiter>,
}

/// The final answer, or a failure in its place after it was evicted.
#[derive(Clone, Debug)]
pub enum StoredAnswer {
    /// The complete answer.
    Full(Arc<Answer>),
    /// The answer was dropped to bound memory; this failure is returned instead.
    Evicted(Failure),
}

impl StoredAnswer {
    /// Returns the answer for a waiter.
    pub fn answer(&self) -> Arc<Answer> {
        match self {
            StoredAnswer::Full(answer) => answer.clone(),
            StoredAnswer::Evicted(failure) => Arc::new(Answer::Failed(*failure)),
        }
    }

    /// Returns the size of the stored outputs in bytes.
    pub fn size(&self) -> usize {
        match self {
            StoredAnswer::Full(answer) => match &**answer {
                Answer::Complete(outputs) => outputs.iter().map(output_size).sum(),
                Answer::Failed(_) => 0,
            },
            StoredAnswer::Evicted(_) => 0,
        }
    }
}

/// Digest that stands for unknown content; matches any content.
pub const UNKNOWN_CONTENT: u64 = 0;

impl Record {
    /// Returns whether a submission of `firm` with this content digest is the recorded one.
    pub fn matches(&self, firm: FirmId, digest: u64) -> bool {
        self.firm == firm
            && (self.content_digest == digest || self.content_digest == UNKNOWN_CONTENT)
    }
}

/// Returns a digest of what a submission requests. Two members are left out, since a resubmission
/// may differ in them: the deadline, of which less is left, and whether it is repeatable, which
/// also depends on the settings in force.
pub fn content_digest(submission: &Submission) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    submission.firm.hash(&mut hasher);
    submission.crew.hash(&mut hasher);
    submission.service.hash(&mut hasher);
    for task in &submission.tasks {
        task.body.hash(&mut hasher);
        task.content_type.hash(&mut hasher);
    }
    hasher.finish().max(1)
}

fn output_size(output: &Output) -> usize {
    output.body.len() + size_of::<Output>()
}
