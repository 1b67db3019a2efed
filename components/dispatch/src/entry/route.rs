//! Requests for submissions whose home is another entry.

use super::{
    Entry,
    drain::TableLocation,
    forwarded::{ANSWER_GRACE, ForwardedRequest, Request},
    submit::{may_have_run, not_run},
};
use crate::{Action, Decision, action::Status, message::RequestId};
use ledger::{Lookup, Waiter};
use site::{
    id::{EndpointId, Home, SubmissionId, WaiterId},
    submission::{Answer, Failure, Reason, Submission},
    unit::{Span, Time},
};
use std::sync::Arc;

/// When a caller may come back while a home can't be reached.
const UNREACHABLE_RETRY_AFTER: Span = Span::from_secs(1);

impl Entry {
    /// Sends a request on to where its submission is known, or answers that it can't.
    /// The request is given up at `deadline`.
    pub(super) fn route(
        &self,
        now: Time,
        waiter: Waiter,
        ask: Request,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        match (self.locate_table(now, id.home()), waiter) {
            (TableLocation::Local, _) => {
                self.answer_from_held_table(now, waiter, &ask, deadline, out)
            }
            (TableLocation::Remote(to), Waiter::Caller(caller)) => {
                self.forward(now, caller, ask, to, deadline, out);
            }
            // A peer that sends it on to an entry which is not its home takes the home for gone.
            // An entry that just started can't know yet, and refused 24 of 24 of these.
            (TableLocation::Unreachable, Waiter::Peer { .. }) if ask.may_run_elsewhere() => {
                self.route_without_home(now, waiter, ask, deadline, out);
            }
            // A request is sent on once only.
            (TableLocation::Remote(_) | TableLocation::Unreachable, _) => {
                let failure = may_have_run(Reason::HomeUnreachable, Some(UNREACHABLE_RETRY_AFTER));
                self.decline(now, waiter, &ask, failure, out);
            }
            (TableLocation::Gone, _) => self.route_without_home(now, waiter, ask, deadline, out),
        }
    }

    /// Answers from the table that this entry took over from the submission's home.
    fn answer_from_held_table(
        &self,
        now: Time,
        waiter: Waiter,
        ask: &Request,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        if let Request::Submit(submission) = ask {
            let known = self.shard(id).lock().find(submission, waiter, deadline);
            match known {
                Some(known) => self.answer_known(now, waiter, submission, known, out),
                // Another may have run it before this entry was known to keep the table.
                None if ask.may_run_elsewhere() => self.admit_foreign(now, waiter, submission, out),
                None => self.decline(now, waiter, ask, self.never_admitted(id), out),
            }
            return;
        }
        let found = self.shard(id).lock().lookup(id, ask.firm(), None);
        match found {
            Lookup::Finished(answer) => self.answer(now, waiter, id, answer, out),
            Lookup::Unknown | Lookup::Open(_) => {
                self.decline(now, waiter, ask, self.never_admitted(id), out);
            }
        }
    }

    /// What is known of an identifier that is not in the whole table of its home.
    fn never_admitted(&self, id: SubmissionId) -> Failure {
        match self.handovers.lock().is_forgotten(id.token) {
            true => ledger::table::expired(),
            false => not_run(Reason::HomeGone, None),
        }
    }

    /// Handles a request whose home is gone without a successor.
    fn route_without_home(
        &self,
        now: Time,
        waiter: Waiter,
        ask: Request,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        let gone = may_have_run(Reason::HomeGone, None);
        let Request::Submit(submission) = &ask else {
            return self.decline(now, waiter, &ask, gone, out);
        };
        if !ask.may_run_elsewhere() {
            return self.decline(now, waiter, &ask, gone, out);
        }
        let (high, low) = id.unique.as_u64_pair();
        let place = EndpointId(high ^ low);
        let runner = self.substitute_for(place);
        match (runner, waiter) {
            (Some(to), Waiter::Caller(caller)) if to != self.home => {
                self.forward(now, caller, ask, to, deadline, out);
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
        ask: Request,
        to: Home,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        let route = ForwardedRequest { waiter, ask, to, deadline };
        let request = self.routes.lock().add(route.clone());
        self.schedule_tick(deadline);
        out.push(Action::Log(Decision::Forward { id, to }));
        let message = route.ask.message(request, deadline.since(now) - ANSWER_GRACE);
        out.push(Action::Send { to, message });
    }

    fn decline(
        &self,
        now: Time,
        waiter: Waiter,
        ask: &Request,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        match ask {
            Request::Query { .. } => self.send_status(waiter, None, out),
            _ => self.reject(now, waiter, ask.id(), ask.firm(), failure, out),
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
        let route = self.routes.lock().remove(request);
        if let Some(route) = route {
            self.answer(now, Waiter::Caller(route.waiter), route.ask.id(), answer, out);
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
        let route = self.routes.lock().remove(request);
        if let Some(route) = route {
            self.send_status(Waiter::Caller(route.waiter), status, out);
        }
    }

    /// Sends everything again that a home may not have got, or sends it elsewhere when the home is
    /// gone.
    pub(super) fn reroute(&self, now: Time, home: Home, out: &mut Vec<Action>) {
        let routes = self.routes.lock().take_home(home);
        for mut route in routes {
            if let Request::Submit(submission) = &mut route.ask {
                Arc::make_mut(submission).deadline = route.deadline.since(now) - ANSWER_GRACE;
            }
            self.route(now, Waiter::Caller(route.waiter), route.ask, route.deadline, out);
        }
    }

    /// Homes that requests wait for.
    pub(super) fn routed_homes(&self) -> Vec<Home> {
        self.routes.lock().by_home.keys().copied().collect()
    }

    /// Gives up what no home answered in time.
    pub(super) fn expire_routes(&self, now: Time, out: &mut Vec<Action>) {
        let due = self.routes.lock().take_due(now);
        for route in due {
            let failure = may_have_run(Reason::Deadline, None);
            self.decline(now, Waiter::Caller(route.waiter), &route.ask, failure, out);
        }
    }
}
