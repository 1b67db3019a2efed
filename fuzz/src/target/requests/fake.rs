//! A backend for the HTTP server that answers at once.

use async_trait::async_trait;
use compact_str::CompactString;
use dispatch::action::Status;
use serde_json::json;
use server::{
    Backend,
    backend::{Fetched, KeyedAnswer, Overview, Readiness},
};
use sha2::{Digest, Sha256};
use site::{
    Contract, Firm, Operator, Service, Site,
    id::{FirmId, OperatorId, ServiceId, SubmissionId, Token},
    submission::{Answer, Failure, Outcome, Output, Reason, Submission},
    unit::{Revision, Span},
};
use std::sync::Arc;

/// The API key of the firm.
pub(super) const KEY: &str = "the-key-of-kovacik";
/// The API key of the operator.
pub(super) const OPERATOR: &str = "the-key-of-the-operator";
/// A service that the firm may use.
pub(super) const SERVICE: &str = "check";

/// A backend with one firm, one service and one operator.
pub(super) struct FakeBackend {
    site: Arc<Site>,
}

fn digest(key: &str) -> String {
    Sha256::digest(key).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl FakeBackend {
    pub(super) fn new() -> FakeBackend {
        let firm: Firm = read(json!({
            "name": "kovacik", "key-digests": [digest(KEY)], "crews": [{ "name": "fitters" }],
        }));
        let service: Service =
            read(json!({ "name": SERVICE, "repeatable": true, "body-limit": "4KiB" }));
        let operator = Operator { name: "ops".into(), key_digests: vec![digest(OPERATOR).into()] };
        let contract = Contract { firm: "kovacik".into(), service: SERVICE.into(), quota: None };
        let site = Site {
            firms: [(FirmId::of("kovacik"), firm)].into(),
            services: [(ServiceId::of(SERVICE), service)].into(),
            contracts: vec![contract],
            operators: [(OperatorId::of("ops"), operator)].into(),
            ..Site::default()
        };
        FakeBackend { site: Arc::new(site) }
    }
}

fn read<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> T {
    serde_json::from_value(value).expect("the settings of the fake backend are valid")
}

fn failed(reason: Reason) -> Arc<Answer> {
    let failure =
        Failure { outcome: Outcome::MayHaveRun, reason, retry_after: Some(Span(u64::MAX)) };
    Arc::new(Answer::Failed(failure))
}

/// Returns the body and content type of each task as its output.
fn echo(submission: &Submission) -> Arc<Answer> {
    let output = |task: &site::submission::Task| Output {
        status: 200,
        content_type: task.content_type.clone(),
        body: task.body.clone(),
    };
    Arc::new(Answer::Complete(submission.tasks.iter().map(output).collect()))
}

#[async_trait]
impl Backend for FakeBackend {
    fn token(&self) -> Token {
        Token::default()
    }

    fn site(&self) -> Arc<Site> {
        self.site.clone()
    }

    fn revision(&self) -> Revision {
        Revision(1)
    }

    async fn submit(&self, submission: Arc<Submission>) -> Arc<Answer> {
        echo(&submission)
    }

    async fn submit_keyed(&self, _: CompactString, _: bool, made: Arc<Submission>) -> KeyedAnswer {
        KeyedAnswer { id: made.id, answer: echo(&made) }
    }

    fn submit_detached(&self, _: Arc<Submission>) {}

    async fn fetch(&self, id: SubmissionId, _: FirmId, _: Span) -> Fetched {
        match id.token.epoch % 2 {
            0 => Fetched::Pending,
            _ => Fetched::Answer(failed(Reason::Deadline)),
        }
    }

    async fn query(&self, id: SubmissionId, _: FirmId) -> Option<Status> {
        (id.token.epoch.is_multiple_of(2)).then_some(Status { tasks: 3, done: 1, finished: false })
    }

    async fn cancel(&self, id: SubmissionId, _: FirmId) -> Arc<Answer> {
        failed(if id.token.epoch.is_multiple_of(2) { Reason::Cancelled } else { Reason::Unknown })
    }

    fn readiness(&self) -> Readiness {
        Readiness::Ready
    }

    fn metrics(&self) -> String {
        "starts_total 3\n".into()
    }

    fn overview(&self, what: Overview) -> serde_json::Value {
        json!({ "what": what })
    }

    fn drain(&self) {}
}
