//! Interface between the HTTP API and the rest of the process.

use async_trait::async_trait;
use compact_str::CompactString;
use derive_more::{Display, Error};
use dispatch::action::Status;
use serde::Serialize;
use site::{
    Site,
    id::{FirmId, SubmissionId, Token},
    submission::{Answer, Submission},
    unit::{Revision, Span},
};
use std::{str::FromStr, sync::Arc};

/// The operations that the HTTP API needs from the rest of the process.
///
/// When a caller closes its connection, the future that waits for it is dropped. The implementation
/// must then remove the waiter; the submission itself continues.
#[async_trait]
pub trait Backend: Send + Sync + 'static {
    /// Returns the home token with which callers currently create identifiers.
    fn token(&self) -> Token;

    /// Returns the settings in force.
    fn site(&self) -> Arc<Site>;

    /// Returns the revision of the settings in force. Changes whenever [`Backend::site`] does.
    fn revision(&self) -> Revision;

    /// Submits `submission` and waits for its final answer.
    async fn submit(&self, submission: Arc<Submission>) -> Arc<Answer>;

    /// Submits under the caller's idempotency key and waits for the final answer. `first` is true
    /// if the caller states that it never used the key before.
    async fn submit_keyed(
        &self,
        key: CompactString,
        first: bool,
        submission: Arc<Submission>,
    ) -> KeyedAnswer;

    /// Submits without waiting. The answer is fetched later.
    fn submit_detached(&self, submission: Arc<Submission>);

    /// Waits up to `deadline` for the answer to a submission.
    async fn fetch(&self, id: SubmissionId, firm: FirmId, deadline: Span) -> Fetched;

    /// Returns the progress of a submission; `None` if it is unknown here or belongs to another
    /// firm.
    async fn query(&self, id: SubmissionId, firm: FirmId) -> Option<Status>;

    /// Cancels a submission and returns its final answer. If it was already answered, that is the
    /// original answer.
    async fn cancel(&self, id: SubmissionId, firm: FirmId) -> Arc<Answer>;

    /// Returns whether the entry accepts new work.
    fn readiness(&self) -> Readiness;

    /// Renders all metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Renders a view for operators as JSON.
    fn overview(&self, what: Overview) -> serde_json::Value;

    /// Starts a drain. Does not wait for its end.
    fn drain(&self);
}

/// The answer to a submission under an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedAnswer {
    /// Identifier of the submission that first claimed the key.
    pub id: SubmissionId,
    /// The final answer.
    pub answer: Arc<Answer>,
}

/// Result of a fetch.
#[derive(Clone, Debug)]
pub enum Fetched {
    /// The final answer.
    Answer(Arc<Answer>),
    /// The wait timed out; the submission may still be in progress.
    Pending,
}

/// Readiness of an entry for new work.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Readiness {
    /// The entry accepts new work.
    #[display("ready")]
    Ready,
    /// Not ready: the entry has no settings yet.
    #[display("no settings")]
    NoSettings,
    /// Not ready: the entry is draining.
    #[display("draining")]
    Draining,
}

/// The views for operators.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Overview {
    /// The settings in force.
    Config,
    /// Executors and workers, with the load of those in use.
    Executors,
    /// Firms and contracts.
    Firms,
    /// Open submissions and waiting callers.
    Jobs,
    /// The other entries, with their membership and connection state.
    Peers,
}

/// Error of a text that is not the name of a view.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("no such view: expected config, executors, firms, jobs or peers")]
pub struct UnknownOverview;

impl FromStr for Overview {
    type Err = UnknownOverview;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s {
            "config" => Ok(Overview::Config),
            "executors" => Ok(Overview::Executors),
            "firms" => Ok(Overview::Firms),
            "jobs" => Ok(Overview::Jobs),
            "peers" => Ok(Overview::Peers),
            _ => Err(UnknownOverview),
        }
    }
}
