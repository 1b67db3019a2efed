//! Sends answers and statuses to waiting callers and peers.

use super::Entry;
use crate::{Action, Decision, Message, action::Status};
use ledger::{Finish, Waiter};
use site::{
    id::{FirmId, SubmissionId},
    submission::{Answer, Failure},
    unit::Time,
};
use std::sync::Arc;

impl Entry {
    /// Sends one waiter the final answer.
    pub(super) fn answer(
        &self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        answer: Arc<Answer>,
        out: &mut Vec<Action>,
    ) {
        match waiter {
            Waiter::Caller(waiter) => self.answer_caller(now, waiter, id, answer, out),
            Waiter::Peer { home, request } => {
                out.push(Action::Send { to: home, message: Message::Answered { request, answer } });
            }
        }
    }

    /// Sends all waiters of a finished submission the final answer.
    pub(super) fn deliver(
        &self,
        now: Time,
        id: SubmissionId,
        finish: Option<Finish>,
        out: &mut Vec<Action>,
    ) {
        let Some(finish) = finish else {
            return;
        };
        for waiter in finish.waiters {
            self.answer(now, waiter, id, finish.answer.clone(), out);
        }
        self.continue_drain(now, out);
    }

    /// Rejects a request with a failure that is not stored as the submission's answer, and logs it.
    pub(super) fn reject(
        &self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        firm: FirmId,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Log(Decision::Refuse { id, firm, failure }));
        self.answer(now, waiter, id, Arc::new(Answer::Failed(failure)), out);
    }

    /// Sends one waiter the status of a submission.
    pub(super) fn send_status(
        &self,
        waiter: Waiter,
        status: Option<Status>,
        out: &mut Vec<Action>,
    ) {
        match waiter {
            Waiter::Caller(waiter) => out.push(Action::Status { waiter, status }),
            Waiter::Peer { home, request } => {
                out.push(Action::Send { to: home, message: Message::Progress { request, status } });
            }
        }
    }
}
