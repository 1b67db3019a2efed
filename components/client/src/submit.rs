//! Submits with retries until there is a final answer or the deadline has passed.

use crate::{
    Client, Error,
    exchange::{Answer, Call, CallResult},
    retry::{RetryAction, next_action},
};
use site::{id::SubmissionId, submission::Outcome, unit::Span};
use smol::Timer;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Deadline of a submission without its own.
pub(crate) const DEFAULT_DEADLINE: Span = Span::from_secs(30);

/// Time after the deadline during which the entry's own final answer is still awaited.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Minimum time that an entry has to respond before another one is tried.
const MIN_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after all entries were tried without success.
const ROUND_PAUSE: Span = Span::from_millis(50);

/// A submission in progress.
#[derive(Debug)]
pub(crate) struct OpenSubmission {
    /// The call without the headers that differ between exchanges.
    call: Call,
    end: Instant,
    /// Identifier; `None` until one is created.
    id: Option<SubmissionId>,
    /// Whether the caller chose the identifier. Such an identifier is never replaced.
    is_callers_id: bool,
    /// Whether it is certain that no entry has received the identifier.
    first: bool,
    /// Index of the entry to try next.
    entry: usize,
    /// Number of exchanges so far.
    exchanges: usize,
}

impl OpenSubmission {
    pub(crate) fn new(
        call: Call,
        id: Option<SubmissionId>,
        deadline: Span,
        entry: usize,
    ) -> OpenSubmission {
        OpenSubmission {
            call,
            end: Instant::now() + duration(deadline),
            id,
            is_callers_id: id.is_some(),
            first: id.is_none(),
            entry,
            exchanges: 0,
        }
    }

    fn time_left(&self) -> Result<Duration, Error> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left >= Duration::from_millis(1) { Ok(left) } else { Err(self.expired()) }
    }

    fn expired(&self) -> Error {
        let outcome = if self.first { Outcome::NotRun } else { Outcome::MayHaveRun };
        Error::Deadline { id: self.id, outcome }
    }

    /// Returns how long an exchange may take before another entry is tried.
    fn timeout(&self, left: Duration) -> Duration {
        (left / 2).max(MIN_EXCHANGE_TIMEOUT).min(left + FINAL_ANSWER_GRACE)
    }

    fn call(&self, id: SubmissionId, left: Duration) -> Call {
        let mut call = self.call.clone();
        call.headers.push(("primrosestep-id", id.to_string()));
        call.headers.push(("primrosestep-deadline", format!("{}ms", left.as_millis())));
        if self.first {
            call.headers.push(("primrosestep-first", "true".into()));
        }
        call
    }

    async fn pause(&self, pause: Span) -> Result<(), Error> {
        let left = self.time_left()?;
        Timer::after(duration(pause).min(left)).await;
        self.time_left().map(drop)
    }
}

impl Client {
    /// Submits with retries until there is a final answer.
    pub(crate) async fn submit(
        &self,
        mut submission: OpenSubmission,
    ) -> Result<(SubmissionId, Answer), Error> {
        loop {
            let left = submission.time_left()?;
            let Some(id) = self.identifier(&mut submission, left).await else {
                self.advance(&mut submission, None).await?;
                continue;
            };
            match next_action(self.exchange(&submission, id, left).await) {
                RetryAction::Done(answer) => return Ok((id, answer)),
                RetryAction::Fail(problem) => return Err(Error::Problem(problem)),
                RetryAction::RetryNewId { problem, .. } if submission.is_callers_id => {
                    return Err(Error::Problem(problem));
                }
                RetryAction::RetryNewId { pause, .. } => {
                    self.forget_token(submission.entry);
                    submission.id = None;
                    submission.first = true;
                    self.advance(&mut submission, pause).await?;
                }
                RetryAction::RetrySameId { pause, unsent } => {
                    submission.first &= unsent;
                    self.advance(&mut submission, pause).await?;
                }
            }
        }
    }

    /// Selects the next entry, and pauses if required.
    async fn advance(
        &self,
        submission: &mut OpenSubmission,
        pause: Option<Span>,
    ) -> Result<(), Error> {
        submission.exchanges += 1;
        submission.entry = self.next_entry(submission.entry);
        let round_over = submission.exchanges.is_multiple_of(self.entry_count());
        match pause {
            Some(pause) => submission.pause(pause).await,
            None if round_over => submission.pause(ROUND_PAUSE).await,
            None => Ok(()),
        }
    }

    async fn exchange(
        &self,
        submission: &OpenSubmission,
        id: SubmissionId,
        left: Duration,
    ) -> CallResult {
        let call = submission.call(id, left);
        let timeout = submission.timeout(left);
        let last = timeout >= left;
        let timeout = if last { left + FINAL_ANSWER_GRACE } else { timeout };
        self.call(submission.entry, call, submission.exchanges > 0, timeout).await
    }

    /// Returns the submission's identifier, created with the token of the next entry if there is
    /// none. Returns `None` if that entry has no token.
    async fn identifier(
        &self,
        submission: &mut OpenSubmission,
        left: Duration,
    ) -> Option<SubmissionId> {
        if submission.id.is_none() {
            let token = self.token(submission.entry, left).await?;
            submission.id = Some(SubmissionId { token, unique: Uuid::new_v4() });
        }
        submission.id
    }
}

pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
