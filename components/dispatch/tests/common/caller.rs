//! Calls of the simulation's callers.

use super::{
    simulation::Simulation,
    site::{Work, firm},
};
use ::site::{
    id::{Home, SubmissionId, WaiterId},
    unit::Span,
};
use dispatch::Event;

impl Simulation {
    pub fn submit(&mut self, via: Home, work: &Work, id: SubmissionId) -> WaiterId {
        let waiter = self.checker.add_submit(self.now, via, work, work.deadline);
        self.tell(via, Event::Submit { waiter, submission: work.submission(id) });
        waiter
    }

    pub fn submit_keyed(&mut self, via: Home, work: &Work, fresh: SubmissionId) -> WaiterId {
        let first = !self.checker.has_submission(work);
        let waiter = self.checker.add_submit(self.now, via, work, work.deadline);
        let (key, submission) = (work.name.as_str().into(), work.submission(fresh));
        self.tell(via, Event::SubmitKeyed { waiter, key, first, submission });
        waiter
    }

    pub fn cancel(&mut self, via: Home, work: &Work, id: SubmissionId) -> WaiterId {
        let waiter = self.checker.add_request(self.now, via, work, Span::from_secs(5));
        self.tell(via, Event::Cancel { waiter, id, firm: firm(work.firm) });
        waiter
    }

    /// Waits for an answer as firm `who`, which may differ from the submitting one.
    pub fn fetch(&mut self, via: Home, work: &Work, id: SubmissionId, who: usize) -> WaiterId {
        let asked = work.clone().of(who);
        let waiter = self.checker.add_request(self.now, via, &asked, work.deadline);
        let deadline = work.deadline;
        self.tell(via, Event::Fetch { waiter, id, firm: firm(who), deadline });
        waiter
    }
}
