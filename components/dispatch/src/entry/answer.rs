//! Telling those who wait.

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
    /// Gives one waiter the final answer.
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

    /// Gives everyone who waits the final answer.
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

    /// Answers with a failure that is not the submission's fixed answer.
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

    /// Tells one waiter how far a submission has come.
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
