//! Retry policy: decides from the result of an exchange whether and under which identifier to
//! resubmit.

use crate::{
    Problem,
    exchange::{Answer, CallResult, SubmissionState},
};
use site::{submission::Outcome, unit::Span};

/// Next action after an exchange.
#[derive(Clone, Debug)]
pub enum RetryAction {
    /// Return this answer.
    Done(Answer),
    /// Return this problem.
    Fail(Problem),
    /// Resubmit under the same identifier through another entry.
    RetrySameId {
        /// Time to wait first, as given by the entry; `None` to continue with the entries that were
        /// not tried yet.
        pause: Option<Span>,
        /// Whether it is certain that no entry received the identifier in this exchange.
        unsent: bool,
    },
    /// Resubmit under a new identifier; nothing has run or will run under the old one.
    RetryNewId {
        /// Time to wait first, as given by the entry.
        pause: Option<Span>,
        /// The reported problem, which is final if the caller chose the identifier.
        problem: Problem,
    },
}

/// Returns the next action after a call with the result `sent`.
pub fn next_action(result: CallResult) -> RetryAction {
    match result {
        CallResult::NotSent => RetryAction::RetrySameId { pause: None, unsent: true },
        CallResult::Lost => RetryAction::RetrySameId { pause: None, unsent: false },
        CallResult::Answer(answer) => match answer.state {
            SubmissionState::Complete | SubmissionState::Pending => RetryAction::Done(answer),
            // Not an entry's response, so the state of the submission is unknown.
            SubmissionState::None => RetryAction::RetrySameId { pause: None, unsent: false },
            SubmissionState::Problem(problem) => after(problem),
        },
    }
}

fn after(problem: Problem) -> RetryAction {
    if is_transfer_error(&problem.reason) {
        return RetryAction::RetrySameId { pause: None, unsent: false };
    }
    match (problem.outcome, problem.retry_after()) {
        (Outcome::NotRun, _) if needs_another_home(&problem.reason) => {
            RetryAction::RetryNewId { pause: None, problem }
        }
        (Outcome::NotRun, pause @ Some(_)) => RetryAction::RetryNewId { pause, problem },
        (Outcome::MayHaveRun, pause @ Some(_)) => RetryAction::RetrySameId { pause, unsent: false },
        (Outcome::NotRun | Outcome::MayHaveRun, None) | (Outcome::RanAndFailed, _) => {
            RetryAction::Fail(problem)
        }
    }
}

/// Returns whether the request was damaged in transfer, so that another connection may succeed.
fn is_transfer_error(reason: &str) -> bool {
    matches!(reason, "truncated-body" | "slow-body" | "slow-head" | "malformed-head" | "abandoned")
}

/// Returns whether another home may accept what this one did not.
fn needs_another_home(reason: &str) -> bool {
    matches!(reason, "draining" | "home-gone" | "home-unreachable")
}
