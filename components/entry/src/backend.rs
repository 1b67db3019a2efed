//! Implements the HTTP API's backend on top of an engine.

use crate::{Engine, overview, waiters::Wake};
use async_channel::Receiver;
use async_trait::async_trait;
use compact_str::CompactString;
use dispatch::{Event, action::Status};
use futures_lite::FutureExt;
use server::backend::{Fetched, KeyedAnswer, Overview, Readiness};
use site::{
    Site,
    id::{FirmId, SubmissionId, Token, WaiterId},
    submission::{Answer, Failure, Outcome, Reason, Submission},
    unit::{Revision, Span},
};
use smol::Timer;
use std::{sync::Arc, time::Duration};

/// Added to the deadline that the engine gets for a fetch, so that the HTTP API's own timeout
/// expires first.
const FETCH_DEADLINE_MARGIN: Span = Span::from_secs(5);

/// An engine as the backend of the HTTP API.
#[derive(Clone)]
pub struct Backend {
    engine: Arc<Engine>,
}

/// A registered waiter. If it is dropped unanswered, the decision logic is notified.
struct Ticket {
    engine: Arc<Engine>,
    waiter: WaiterId,
    /// The submission that the waiter waits for.
    id: SubmissionId,
    woken: Receiver<Wake>,
}

impl Backend {
    /// Creates a backend for `engine`.
    pub fn new(engine: Arc<Engine>) -> Backend {
        Backend { engine }
    }

    fn open_ticket(&self, id: SubmissionId) -> Ticket {
        let (waiter, woken) = self.engine.waiters().register();
        Ticket { engine: self.engine.clone(), waiter, id, woken }
    }

    async fn timed_answer(&self, ticket: &Ticket) -> (SubmissionId, Arc<Answer>) {
        let start = self.engine.clock().now();
        let (id, answer) = ticket.answer().await;
        self.engine.metrics().record_answer(&answer, self.engine.clock().now().since(start));
        (id, answer)
    }
}

impl Ticket {
    async fn answer(&self) -> (SubmissionId, Arc<Answer>) {
        match self.woken.recv().await {
            Ok(Wake::Answer { id, answer }) => (id, answer),
            Ok(Wake::Status(_)) | Err(_) => (self.id, Arc::new(unanswered())),
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.engine.waiters().remove(self.waiter) {
            self.engine.post(Event::Abandon { waiter: self.waiter, id: self.id });
        }
    }
}

/// Answer for a waiter whose channel closed without one; the decision logic never causes this.
fn unanswered() -> Answer {
    Answer::Failed(Failure {
        outcome: Outcome::MayHaveRun,
        reason: Reason::Unknown,
        retry_after: None,
    })
}

#[async_trait]
impl server::Backend for Backend {
    fn token(&self) -> Token {
        self.engine.token()
    }

    fn site(&self) -> Arc<Site> {
        self.engine.settings().site
    }

    fn revision(&self) -> Revision {
        self.engine.settings().revision
    }

    async fn submit(&self, submission: Arc<Submission>) -> Arc<Answer> {
        let ticket = self.open_ticket(submission.id);
        self.engine.post(Event::Submit { waiter: ticket.waiter, submission });
        self.timed_answer(&ticket).await.1
    }

    async fn submit_keyed(
        &self,
        key: CompactString,
        first: bool,
        submission: Arc<Submission>,
    ) -> KeyedAnswer {
        let ticket = self.open_ticket(submission.id);
        let waiter = ticket.waiter;
        self.engine.post(Event::SubmitKeyed { waiter, key, first, submission });
        let (id, answer) = self.timed_answer(&ticket).await;
        KeyedAnswer { id, answer }
    }

    fn submit_detached(&self, submission: Arc<Submission>) {
        let waiter = self.engine.waiters().allocate_id();
        let id = submission.id;
        self.engine.post(Event::Submit { waiter, submission });
        self.engine.post(Event::Abandon { waiter, id });
    }

    async fn fetch(&self, id: SubmissionId, firm: FirmId, deadline: Span) -> Fetched {
        let ticket = self.open_ticket(id);
        let waiter = ticket.waiter;
        let engine_deadline = deadline + FETCH_DEADLINE_MARGIN;
        self.engine.post(Event::Fetch { waiter, id, firm, deadline: engine_deadline });
        let answered = async { Fetched::Answer(ticket.answer().await.1) };
        let expired = async {
            Timer::after(Duration::from_micros(deadline.0)).await;
            Fetched::Pending
        };
        answered.or(expired).await
    }

    async fn query(&self, id: SubmissionId, firm: FirmId) -> Option<Status> {
        let ticket = self.open_ticket(id);
        self.engine.post(Event::Query { waiter: ticket.waiter, id, firm });
        match ticket.woken.recv().await {
            Ok(Wake::Status(status)) => status,
            Ok(Wake::Answer { .. }) | Err(_) => None,
        }
    }

    async fn cancel(&self, id: SubmissionId, firm: FirmId) -> Arc<Answer> {
        let ticket = self.open_ticket(id);
        self.engine.post(Event::Cancel { waiter: ticket.waiter, id, firm });
        ticket.answer().await.1
    }

    fn readiness(&self) -> Readiness {
        if self.engine.is_draining() {
            return Readiness::Draining;
        }
        match self.engine.settings().site.data_centres.is_empty() {
            true => Readiness::NoSettings,
            false => Readiness::Ready,
        }
    }

    fn metrics(&self) -> String {
        let metrics = self.engine.metrics();
        self.engine.refresh_gauges();
        metrics.render().unwrap_or_else(|error| {
            tracing::error!(%error, "metrics");
            String::new()
        })
    }

    fn overview(&self, what: Overview) -> serde_json::Value {
        overview::render(&self.engine, what)
    }

    fn drain(&self) {
        self.engine.drain();
    }
}
