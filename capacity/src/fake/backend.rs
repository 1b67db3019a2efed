//! Backend of the callers' interface that answers every submission at once.

use crate::fake::load::{home, output};
use async_trait::async_trait;
use compact_str::CompactString;
use dispatch::action::Status;
use server::{
    Backend,
    backend::{Fetched, KeyedAnswer, Overview, Readiness},
};
use site::{
    Site,
    id::{FirmId, SubmissionId, Token},
    submission::{Answer, Submission},
    unit::{Revision, Span},
};
use std::sync::Arc;

/// Answers each submission at once with one output per task.
#[derive(Debug)]
pub struct ImmediateBackend {
    /// Site that the settings in force describe.
    pub site: Arc<Site>,
}

fn answer(submission: &Submission) -> Arc<Answer> {
    Arc::new(Answer::Complete(vec![output(); submission.tasks.len()]))
}

#[async_trait]
impl Backend for ImmediateBackend {
    fn token(&self) -> Token {
        Token { home: home(0, 0), epoch: 0 }
    }

    fn site(&self) -> Arc<Site> {
        self.site.clone()
    }

    fn revision(&self) -> Revision {
        Revision(1)
    }

    async fn submit(&self, submission: Arc<Submission>) -> Arc<Answer> {
        answer(&submission)
    }

    async fn submit_keyed(
        &self,
        _: CompactString,
        _: bool,
        submission: Arc<Submission>,
    ) -> KeyedAnswer {
        KeyedAnswer { id: submission.id, answer: answer(&submission) }
    }

    fn submit_detached(&self, _: Arc<Submission>) {}

    async fn fetch(&self, _: SubmissionId, _: FirmId, _: Span) -> Fetched {
        Fetched::Pending
    }

    async fn query(&self, _: SubmissionId, _: FirmId) -> Option<Status> {
        None
    }

    async fn cancel(&self, _: SubmissionId, _: FirmId) -> Arc<Answer> {
        Arc::new(Answer::Complete(vec![]))
    }

    fn readiness(&self) -> Readiness {
        Readiness::Ready
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn overview(&self, _: Overview) -> serde_json::Value {
        serde_json::Value::Null
    }

    fn drain(&self) {}
}
