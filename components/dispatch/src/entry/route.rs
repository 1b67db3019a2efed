//! Requests for submissions whose home is another entry.

use super::{
    Entry,
    ask::{Ask, GRACE, Route},
    drain::Whereabouts,
    submit::{may_have_run, not_run},
};
use crate::{Action, Decision, action::Status, message::Request};
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
        ask: Ask,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        match (self.whereabouts(now, id.home()), waiter) {
            (Whereabouts::Here, _) => self.ask_adopted(now, waiter, &ask, deadline, out),
            (Whereabouts::At(to), Waiter::Caller(caller)) => {
                self.forward(now, caller, ask, to, deadline, out);
            }
            // A peer that sends it on to an entry which is not its home takes the home for gone.
            // An entry that just started can't know yet, and refused 24 of 24 of these.
            (Whereabouts::Unreachable, Waiter::Peer { .. }) if ask.may_move() => {
                self.route_gone(now, waiter, ask, deadline, out);
            }
            // A request is sent on once only.
            (Whereabouts::At(_) | Whereabouts::Unreachable, _) => {
                let failure = may_have_run(Reason::HomeUnreachable, Some(UNREACHABLE_RETRY_AFTER));
                self.decline(now, waiter, &ask, failure, out);
            }
            (Whereabouts::Gone, _) => self.route_gone(now, waiter, ask, deadline, out),
        }
    }

    /// Answers from the table that this entry took over from the submission's home.
    fn ask_adopted(
        &self,
        now: Time,
        waiter: Waiter,
        ask: &Ask,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        if let Ask::Submit(submission) = ask {
            let known = self.shard(id).lock().find(submission, waiter, deadline);
            match known {
                Some(known) => self.answer_known(now, waiter, submission, known, out),
                // Another may have run it before this entry was known to keep the table.
                None if ask.may_move() => self.admit_foreign(now, waiter, submission, out),
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
        match self.moves.lock().is_forgotten(id.token) {
            true => ledger::table::expired_failure(),
            false => not_run(Reason::HomeGone, None),
        }
    }

    /// Handles a request whose home is gone without a successor.
    fn route_gone(
        &self,
        now: Time,
        waiter: Waiter,
        ask: Ask,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        let gone = may_have_run(Reason::HomeGone, None);
        let Ask::Submit(submission) = &ask else {
            return self.decline(now, waiter, &ask, gone, out);
        };
        if !ask.may_move() {
            return self.decline(now, waiter, &ask, gone, out);
        }
        let (high, low) = id.unique.as_u64_pair();
        let place = EndpointId(high ^ low);
        let runner = self.runner(place);
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
        ask: Ask,
        to: Home,
        deadline: Time,
        out: &mut Vec<Action>,
    ) {
        let id = ask.id();
        let route = Route { waiter, ask, to, deadline };
        let request = self.routes.lock().add(route.clone());
        self.arm(deadline);
        out.push(Action::Log(Decision::Forward { id, to }));
        let message = route.ask.message(request, deadline.since(now) - GRACE);
        out.push(Action::Send { to, message });
    }

    fn decline(
        &self,
        now: Time,
        waiter: Waiter,
        ask: &Ask,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        match ask {
            Ask::Query { .. } => self.tell(waiter, None, out),
            _ => self.refuse(now, waiter, ask.id(), ask.firm(), failure, out),
        }
    }

    /// Passes a home's answer on to the caller.
    pub(super) fn answered(
        &self,
        now: Time,
        request: Request,
        answer: Arc<Answer>,
        out: &mut Vec<Action>,
    ) {
        let route = self.routes.lock().remove(request);
        if let Some(route) = route {
            self.answer(now, Waiter::Caller(route.waiter), route.ask.id(), answer, out);
            self.drain_on(now, out);
        }
    }

    /// Passes a home's status on to the caller.
    pub(super) fn progressed(
        &self,
        request: Request,
        status: Option<Status>,
        out: &mut Vec<Action>,
    ) {
        let route = self.routes.lock().remove(request);
        if let Some(route) = route {
            self.tell(Waiter::Caller(route.waiter), status, out);
        }
    }

    /// Sends everything again that a home may not have got, or sends it elsewhere when the home is
    /// gone.
    pub(super) fn reroute(&self, now: Time, home: Home, out: &mut Vec<Action>) {
        let routes = self.routes.lock().take_home(home);
        for mut route in routes {
            if let Ask::Submit(submission) = &mut route.ask {
                Arc::make_mut(submission).deadline = route.deadline.since(now) - GRACE;
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
