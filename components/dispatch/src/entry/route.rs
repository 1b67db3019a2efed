//! Routes requests for submissions whose home is another entry.

use super::{
    Entry,
    drain::TableLocation,
    forwarded::{ANSWER_GRACE, Call, ForwardedRequest},
    submit::{may_have_run, not_run},
};
use crate::{Action, Decision, action::Status, message::RequestId};
use ledger::{Lookup, Waiter};
use site::{
    id::{EndpointId, Home, SubmissionId, WaiterId},
    submission::{Answer, Failure, Outcome, Reason, Submission},
    unit::{Span, Time},
};
use std::sync::Arc;

/// Retry delay sent to a caller while a home can't be reached.
const UNREACHABLE_RETRY_AFTER: Span = Span::from_secs(1);

impl Entry {
    /// Forwards a request to the entry that holds its submission, or answers it with a failure. The
    /// request is given up at `deadline`.
    pub(super) fn route(
        &self,
        now: Time,
        waiter: Waiter,
        call: Call,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = call.id();
        match (self.locate_table(now, id.home()), waiter) {
            (TableLocation::Local, _) => {
                self.answer_from_held_table(now, waiter, &call, deadline, out)
            }
            (TableLocation::Remote(to), Waiter::Caller(caller)) => {
                self.forward(now, caller, call, to, deadline, out);
            }
            // A peer that forwards a request to an entry which is not its home considers the home
            // gone. An entry that has just started can't know that yet; without this case it
            // rejected 24 of 24 such requests.
            (TableLocation::Unreachable, Waiter::Peer { .. }) if call.may_run_elsewhere() => {
                self.route_without_home(now, waiter, call, deadline, out);
            }
            // A request is forwarded only once.
            (TableLocation::Remote(_) | TableLocation::Unreachable, _) => {
                let failure = may_have_run(Reason::HomeUnreachable, Some(UNREACHABLE_RETRY_AFTER));
                self.decline(now, waiter, &call, failure, out);
            }
            (TableLocation::Gone, _) => self.route_without_home(now, waiter, call, deadline, out),
        }
    }

    /// Answers from the table that this entry took over from the submission's home.
    fn answer_from_held_table(
        &self,
        now: Time,
        waiter: Waiter,
        call: &Call,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = call.id();
        if let Call::Submit(submission) = call {
            let known = self.shard(id).lock().find(submission, waiter, deadline);
            match known {
                Some(known) => self.answer_known(now, waiter, submission, known, out),
                // Another entry may have run it before this entry was known to hold the table.
                None if call.may_run_elsewhere() => {
                    self.admit_foreign(now, waiter, submission, out)
                }
                None => self.decline(now, waiter, call, self.never_admitted(id), out),
            }
            return;
        }
        let found = self.shard(id).lock().lookup(id, call.firm(), None);
        match found {
            Lookup::Finished(answer) => self.answer(now, waiter, id, answer, out),
            // It may be a repeatable request, which may be in transit or run at another entry.
            Lookup::Unknown | Lookup::Open(_) => {
                let failure = Failure { outcome: Outcome::MayHaveRun, ..self.never_admitted(id) };
                self.decline(now, waiter, call, failure, out);
            }
        }
    }

    /// Returns the failure for an identifier that is absent from its home's complete table.
    fn never_admitted(&self, id: SubmissionId) -> Failure {
        match self.handovers.lock().is_forgotten(id.token) {
            true => ledger::table::expired_failure(),
            false => not_run(Reason::HomeGone, None),
        }
    }

    /// Handles a request whose home is gone without a successor.
    fn route_without_home(
        &self,
        now: Time,
        waiter: Waiter,
        call: Call,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = call.id();
        let gone = may_have_run(Reason::HomeGone, None);
        let Call::Submit(submission) = &call else {
            return self.decline(now, waiter, &call, gone, out);
        };
        if !call.may_run_elsewhere() {
            return self.decline(now, waiter, &call, gone, out);
        }
        let (high, low) = id.unique.as_u64_pair();
        let hash_key = EndpointId(high ^ low);
        let substitute = self.substitute_for(hash_key);
        match (substitute, waiter) {
            (Some(to), Waiter::Caller(caller)) if to != self.home => {
                self.forward(now, caller, call, to, deadline, out);
            }
            _ => self.admit_foreign(now, waiter, submission, out),
        }
    }

    /// Admits a repeatable request whose home is gone.
    fn admit_foreign(
        &self,
        now: Time,
        waiter: Waiter,
        submission: &Arc<Submission>,
        out: &mut Vec<Action>,
    ) {
        self.remember_foreign(now, submission.id.token);
        self.admit(now, waiter, submission.clone(), out);
    }

    fn forward(
        &self,
        now: Time,
        waiter: WaiterId,
        call: Call,
        to: Home,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = call.id();
        let pending = ForwardedRequest { waiter, call, to, deadline };
        let request = self.forwarded.lock().add(pending.clone());
        self.schedule_tick(deadline);
        out.push(Action::Log(Decision::Forward { id, to }));
        let message = pending.call.message(request, deadline.since(now) - ANSWER_GRACE);
        out.push(Action::Send { to, message });
    }

    fn decline(
        &self,
        now: Time,
        waiter: Waiter,
        call: &Call,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        match call {
            Call::Query { .. } => self.send_status(waiter, None, out),
            _ => self.reject(now, waiter, call.id(), call.firm(), failure, out),
        }
    }

    /// Passes a home's answer on to the caller.
    pub(super) fn receive_answer(
        &self,
        now: Time,
        request: RequestId,
        answer: Arc<Answer>,
        out: &mut Vec<Action>,
    ) {
        let pending = self.forwarded.lock().remove(request);
        if let Some(pending) = pending {
            self.answer(now, Waiter::Caller(pending.waiter), pending.call.id(), answer, out);
            self.continue_drain(now, out);
        }
    }

    /// Passes a home's status on to the caller.
    pub(super) fn receive_progress(
        &self,
        request: RequestId,
        status: Option<Status>,
        out: &mut Vec<Action>,
    ) {
        let pending = self.forwarded.lock().remove(request);
        if let Some(pending) = pending {
            self.send_status(Waiter::Caller(pending.waiter), status, out);
        }
    }

    /// Routes all open requests of a home again: to the same home, which may not have received
    /// them, or elsewhere if the home is gone.
    pub(super) fn reroute(&self, now: Time, home: Home, out: &mut Vec<Action>) {
        let forwarded = self.forwarded.lock().take_home(home);
        for mut pending in forwarded {
            if let Call::Submit(submission) = &mut pending.call {
                Arc::make_mut(submission).deadline = pending.deadline.since(now) - ANSWER_GRACE;
            }
            self.route(now, Waiter::Caller(pending.waiter), pending.call, pending.deadline, out);
        }
    }

    /// Returns the homes that open requests were forwarded to.
    pub(super) fn forwarded_homes(&self) -> Vec<Home> {
        self.forwarded.lock().by_home.keys().copied().collect()
    }

    /// Gives up forwarded requests that were not answered by their deadline.
    pub(super) fn expire_forwarded(&self, now: Time, out: &mut Vec<Action>) {
        let due = self.forwarded.lock().take_due(now);
        for pending in due {
            let failure = may_have_run(Reason::Deadline, None);
            self.decline(now, Waiter::Caller(pending.waiter), &pending.call, failure, out);
        }
    }
}
