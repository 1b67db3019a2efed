//! Routes of jobs.

use super::{Api, query};
use crate::{
    Rejection,
    backend::{Fetched, KeyedAnswer},
    body,
    header::{self, Identifier, Params},
    job::{self, Job},
    problem::Prior,
    reply::Reply,
    submit::{Context, job_identifier},
    timeout,
};
use dispatch::action::Status;
use serde::Serialize;
use site::{
    id::{FirmId, SubmissionId},
    submission::{Answer, Failure, Outcome, Output, Reason, Submission},
    unit::Span,
};
use std::sync::Arc;
use trillium::Conn;

/// Default waiting time of a fetch.
const DEFAULT_FETCH_WAIT: Span = Span::from_secs(5);

/// Minimum waiting time of a fetch, enough to query another entry.
const MIN_FETCH_WAIT: Span = Span::from_millis(100);

/// Bytes that a job's body contains if it identifies a submission, even if it can't be parsed.
const ID_FIELD: &[u8] = b"\"id\"";

impl Api {
    /// Handles the submission of a job.
    pub(super) async fn submit(&self, conn: &mut Conn) -> Reply {
        let mut prior = match header::prior(conn.request_headers()) {
            Prior::None if states_first(conn) => Prior::None,
            // Until the body is read, it may identify a submission.
            _ => Prior::Possible,
        };
        match self.try_submit(conn, &mut prior).await {
            Ok(reply) => reply,
            Err(rejection) => Reply::rejection(&rejection, prior, None),
        }
    }

    async fn try_submit(&self, conn: &mut Conn, prior: &mut Prior) -> Result<Reply, Rejection> {
        let wait = query::wait_flag(conn.querystring())?;
        let index = self.index();
        let firm = self.firm(conn.request_headers(), &index)?;
        let mut params = Params::parse(conn.request_headers())?;
        let site = self.backend.site();
        let context = Context { site: &site, index: &index, firm, token: self.backend.token() };
        let _permit = self.waiters.acquire()?;
        let body = body::read(conn, self.limit(self.options.job_limit), &self.budget).await?;
        if params.identifier == Identifier::None && !contains(&body.bytes, ID_FIELD) {
            *prior = Prior::None;
        }
        let job = Job::parse(&body.bytes)?;
        params.identifier = job_identifier(&params.identifier, job.id.as_deref())?;
        let submission = context.job(&params, job, conn.start_time().elapsed())?;
        if wait {
            Ok(self.run_job(conn, &params, submission).await)
        } else {
            self.begin(&params, submission)
        }
    }

    async fn run_job(&self, conn: &mut Conn, params: &Params, submission: Submission) -> Reply {
        let id = submission.id;
        match self.wait(conn, params, submission).await {
            Some(KeyedAnswer { id, answer }) => reply(id, &answer),
            None => Reply::rejection(&Rejection::Abandoned, Prior::Possible, Some(id)),
        }
    }

    fn begin(&self, params: &Params, submission: Submission) -> Result<Reply, Rejection> {
        if matches!(params.identifier, Identifier::Key(_)) {
            return Err(Rejection::KeyWithoutWait);
        }
        let id = submission.id;
        self.backend.submit_detached(Arc::new(submission));
        Ok(Reply::pending(id, &Pending { id: id.to_string(), outcome: "pending" }))
    }

    /// Handles a query of a job's progress.
    pub(super) async fn status(&self, conn: &mut Conn, id: SubmissionId) -> Reply {
        let firm = match self.authenticate(conn, query::none) {
            Ok((firm, ())) => firm,
            Err(rejection) => return Reply::rejection(&rejection, Prior::Possible, Some(id)),
        };
        match self.backend.query(id, firm).await {
            Some(status) => Reply::json(200, &Progress::new(id, status)),
            None => unknown(id),
        }
    }

    /// Handles a fetch of a job's answer, which waits for a limited time.
    pub(super) async fn answer(&self, conn: &mut Conn, id: SubmissionId) -> Reply {
        match self.try_answer(conn, id).await {
            Ok(reply) => reply,
            Err(rejection) => Reply::rejection(&rejection, Prior::Possible, Some(id)),
        }
    }

    async fn try_answer(&self, conn: &mut Conn, id: SubmissionId) -> Result<Reply, Rejection> {
        let (firm, wait) = self.authenticate(conn, query::wait_time)?;
        let wait =
            wait.unwrap_or(DEFAULT_FETCH_WAIT).clamp(MIN_FETCH_WAIT, self.options.fetch_limit);
        let _permit = self.waiters.acquire()?;
        if let Some(connection) = timeout::of(conn) {
            connection.start_wait();
        }
        let backend = self.backend.clone();
        let fetched = conn
            .cancel_on_disconnect(async move { backend.fetch(id, firm, wait).await })
            .await
            .ok_or(Rejection::Abandoned)?;
        Ok(match fetched {
            Fetched::Answer(answer) => reply(id, &answer),
            Fetched::Pending => {
                Reply::pending(id, &Pending { id: id.to_string(), outcome: "pending" })
            }
        })
    }

    /// Handles the cancellation of a job.
    pub(super) async fn cancel(&self, conn: &mut Conn, id: SubmissionId) -> Reply {
        let firm = match self.authenticate(conn, query::none) {
            Ok((firm, ())) => firm,
            Err(rejection) => return Reply::rejection(&rejection, Prior::Possible, Some(id)),
        };
        let answer = self.backend.cancel(id, firm).await;
        match answer.as_ref() {
            Answer::Failed(failure) if failure.reason == Reason::Cancelled => {
                Reply::json(200, &Cancelled::new(id, failure.outcome))
            }
            answer => reply(id, answer),
        }
    }

    /// Authenticates the firm and parses the query string with `query`.
    fn authenticate<T>(
        &self,
        conn: &Conn,
        query: impl FnOnce(&str) -> Result<T, Rejection>,
    ) -> Result<(FirmId, T), Rejection> {
        let firm = self.firm(conn.request_headers(), &self.index())?;
        Ok((firm, query(conn.querystring())?))
    }
}

/// Body of the response for a submission without an answer yet.
#[derive(Debug, Serialize)]
struct Pending {
    id: String,
    outcome: &'static str,
}

/// Body of the response with the progress of a submission.
#[derive(Debug, Serialize)]
struct Progress {
    id: String,
    #[serde(flatten)]
    status: Status,
}

impl Progress {
    fn new(id: SubmissionId, status: Status) -> Progress {
        Progress { id: id.to_string(), status }
    }
}

/// Body of the response for a cancelled submission.
#[derive(Debug, Serialize)]
struct Cancelled {
    id: String,
    outcome: Outcome,
    reason: Reason,
}

impl Cancelled {
    fn new(id: SubmissionId, outcome: Outcome) -> Cancelled {
        Cancelled { id: id.to_string(), outcome, reason: Reason::Cancelled }
    }
}

/// Creates the response with the complete answer to a job.
pub(super) fn complete(id: SubmissionId, outputs: &[Output]) -> Reply {
    Reply::complete(id, job::render(&id.to_string(), outputs))
}

fn reply(id: SubmissionId, answer: &Answer) -> Reply {
    match answer {
        Answer::Complete(outputs) => complete(id, outputs),
        Answer::Failed(failure) => Reply::failure(failure, Some(id)),
    }
}

/// Creates the response for an unknown job. Another firm's job is reported in the same way as one
/// that never existed; in both cases the outcome is "may have run".
fn unknown(id: SubmissionId) -> Reply {
    let failure =
        Failure { outcome: Outcome::MayHaveRun, reason: Reason::Unknown, retry_after: None };
    Reply::failure(&failure, Some(id))
}

fn states_first(conn: &Conn) -> bool {
    conn.request_headers().get_str(header::FIRST) == Some("true")
}

fn contains(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|window| window == wanted)
}
