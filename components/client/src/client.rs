//! Client for callers and operators.

use crate::{
    Error, Job, Request, Response,
    exchange::{Answer, Call, CallResult, Connections, SubmissionState},
    job::{Cancelled, Complete, Fetched, Status},
    submit::{DEFAULT_DEADLINE, OpenSubmission, duration},
    token::Cache,
};
use compact_str::CompactString;
use serde::{Deserialize, de::DeserializeOwned};
use site::{
    id::{SubmissionId, Token},
    submission::Outcome,
    unit::Span,
};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use trillium_client::Method;

/// Time after which a query to one entry is abandoned.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Client that submits work through any of several entries.
#[derive(Debug)]
pub struct Client {
    /// Known entries; at least one.
    entries: Vec<KnownEntry>,
    connections: Connections,
    /// Index of the entry that the next submission or query starts with, modulo their number.
    next: AtomicUsize,
}

/// An entry and its last home token.
#[derive(Debug)]
struct KnownEntry {
    address: SocketAddr,
    token: Cache,
}

impl Client {
    /// Creates a client for `entries` that authenticates with a firm's or operator's `key`.
    ///
    /// # Errors
    ///
    /// [`Error::NoEntries`] if `entries` is empty.
    pub fn new(
        entries: impl IntoIterator<Item = SocketAddr>,
        key: impl Into<CompactString>,
    ) -> Result<Client, Error> {
        let known = |address| KnownEntry { address, token: Cache::default() };
        let entries: Vec<_> = entries.into_iter().map(known).collect();
        if entries.is_empty() {
            return Err(Error::NoEntries);
        }
        Ok(Client { entries, connections: Connections::new(key.into()), next: AtomicUsize::new(0) })
    }

    /// Submits a single request and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`Error::Problem`] for a final failure, [`Error::Deadline`] if there is no final answer in
    /// time.
    pub async fn request(&self, request: &Request) -> Result<Response, Error> {
        let mut call = Call::new(Method::Post, format!("/v1/requests/{}", request.service));
        call.headers.push(("content-type", request.content_type.to_string()));
        if let Some(crew) = &request.crew {
            call.headers.push(("primrosestep-crew", crew.to_string()));
        }
        if !request.repeatable {
            call.headers.push(("primrosestep-repeatable", "false".into()));
        }
        call.body = request.body.clone();
        let (id, answer) =
            self.submit(self.open_submission(call, request.id, request.deadline)).await?;
        let Answer { status, content_type, body, .. } = answer;
        Ok(Response { id, status, content_type, body })
    }

    /// Submits a job and waits for its answer.
    ///
    /// # Errors
    ///
    /// As [`Client::request`].
    pub async fn job(&self, job: &Job) -> Result<Complete, Error> {
        let call = job_call("/v1/jobs", job);
        let (_, answer) = self.submit(self.open_submission(call, job.id, job.deadline)).await?;
        parse(&answer)
    }

    /// Submits a job without waiting for its answer, which [`Client::fetch`] returns later.
    ///
    /// # Errors
    ///
    /// As [`Client::request`].
    pub async fn start_job(&self, job: &Job) -> Result<SubmissionId, Error> {
        let call = job_call("/v1/jobs?wait=false", job);
        let (id, _) = self.submit(self.open_submission(call, job.id, job.deadline)).await?;
        Ok(id)
    }

    /// Waits up to `wait` for the answer to a job.
    ///
    /// # Errors
    ///
    /// [`Error::Problem`] if the job failed or is unknown.
    pub async fn fetch(&self, id: SubmissionId, wait: Span) -> Result<Fetched, Error> {
        let call = Call::new(Method::Get, format!("/v1/jobs/{id}/answer?wait={wait}"));
        let answer = self.query(call, duration(wait) + QUERY_TIMEOUT).await?;
        match answer.state {
            SubmissionState::Pending => Ok(Fetched::Pending),
            _ => parse(&answer).map(Fetched::Complete),
        }
    }

    /// Returns the progress of a job.
    ///
    /// # Errors
    ///
    /// [`Error::Problem`] if the job is unknown.
    pub async fn status(&self, id: SubmissionId) -> Result<Status, Error> {
        let call = Call::new(Method::Get, format!("/v1/jobs/{id}"));
        parse(&self.query(call, QUERY_TIMEOUT).await?)
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// [`Error::Problem`] if the job had failed before or is unknown.
    pub async fn cancel(&self, id: SubmissionId) -> Result<Cancelled, Error> {
        let call = Call::new(Method::Delete, format!("/v1/jobs/{id}"));
        let answer = self.query(call, QUERY_TIMEOUT).await?;
        match answer.state {
            SubmissionState::Complete => parse(&answer).map(Cancelled::Complete),
            _ => parse(&answer).map(|Cancellation { outcome }| Cancelled::Ended(outcome)),
        }
    }

    /// Returns a view for operators: `config`, `executors`, `firms`, `jobs` or `peers`.
    ///
    /// # Errors
    ///
    /// [`Error::Problem`] if the key is not an operator's or the view does not exist.
    pub async fn show(&self, what: &str) -> Result<serde_json::Value, Error> {
        let call = Call::new(Method::Get, format!("/v1/admin/show/{what}"));
        parse(&self.query(call, QUERY_TIMEOUT).await?)
    }

    /// Starts a drain of the first entry.
    ///
    /// # Errors
    ///
    /// [`Error::Problem`] if the key is not an operator's.
    pub async fn drain(&self) -> Result<(), Error> {
        let call = Call::new(Method::Post, "/v1/admin/drain");
        match self.call(0, call, true, QUERY_TIMEOUT).await {
            CallResult::Answer(answer) => accept(answer).map(drop),
            CallResult::NotSent | CallResult::Lost => Err(Error::Unreachable),
        }
    }

    /// Sends a query to one entry after another until one responds.
    async fn query(&self, call: Call, limit: Duration) -> Result<Answer, Error> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        for entry in start..start + self.entries.len() {
            let entry = entry % self.entries.len();
            if let CallResult::Answer(answer) = self.call(entry, call.clone(), false, limit).await {
                return accept(answer);
            }
        }
        Err(Error::Unreachable)
    }

    fn open_submission(
        &self,
        call: Call,
        id: Option<SubmissionId>,
        deadline: Option<Span>,
    ) -> OpenSubmission {
        let entry = self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len();
        OpenSubmission::new(call, id, deadline.unwrap_or(DEFAULT_DEADLINE), entry)
    }

    /// Makes a call and caches the token in its response.
    pub(crate) async fn call(
        &self,
        entry: usize,
        call: Call,
        fresh: bool,
        limit: Duration,
    ) -> CallResult {
        let known = &self.entries[entry];
        let sent = self.connections.call(known.address, call, fresh, limit).await;
        if let CallResult::Answer(Answer { token: Some(token), .. }) = &sent {
            known.token.set(*token);
        }
        sent
    }

    /// Returns the cached token of `entry` or queries it. Returns `None` if the entry does not
    /// respond.
    pub(crate) async fn token(&self, entry: usize, limit: Duration) -> Option<Token> {
        if let Some(token) = self.entries[entry].token.get() {
            return Some(token);
        }
        let call = Call::new(Method::Get, "/v1/home");
        match self.call(entry, call, true, limit.min(QUERY_TIMEOUT)).await {
            CallResult::Answer(answer) => answer.token,
            CallResult::NotSent | CallResult::Lost => None,
        }
    }

    pub(crate) fn forget_token(&self, entry: usize) {
        self.entries[entry].token.clear();
    }

    /// Returns the number of known entries; at least one.
    pub(crate) fn entry_count(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn next_entry(&self, entry: usize) -> usize {
        (entry + 1) % self.entries.len()
    }
}

/// The part of the response to a cancellation that is used.
#[derive(Deserialize)]
struct Cancellation {
    outcome: Outcome,
}

fn job_call(path: &str, job: &Job) -> Call {
    let mut call = Call::new(Method::Post, path);
    call.headers.push(("content-type", "application/json".into()));
    call.body = serde_json::to_vec(job).expect("a job has text keys only");
    call
}

fn accept(answer: Answer) -> Result<Answer, Error> {
    match answer.state {
        SubmissionState::Problem(problem) => Err(Error::Problem(problem)),
        SubmissionState::None if answer.status >= 300 => {
            Err(Error::Malformed { status: answer.status })
        }
        SubmissionState::None | SubmissionState::Complete | SubmissionState::Pending => Ok(answer),
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    serde_json::from_slice(&answer.body).map_err(|_| Error::Malformed { status: answer.status })
}
