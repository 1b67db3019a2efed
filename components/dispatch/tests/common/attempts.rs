//! Simulates attempts: the way to an executor, the end there, and the report to the entry.

use super::{
    executor::{Mode, Open, StartRecord},
    simulation::{Delivery, Simulation},
};
use ::site::{
    id::{AttemptId, EndpointId, Home},
    unit::Span,
};
use dispatch::{
    Event,
    action::Start,
    event::{Refusal, Reply, Report},
};

/// One-way latency between an entry and an executor.
const ENDPOINT_LATENCY: Span = Span(200);

impl Simulation {
    pub(super) fn start(&mut self, home: Home, start: Start) {
        self.checker.start(home, &start);
        let key = (home, start.attempt);
        let limit = start.time_limit;
        let open = Open { start, since: self.now, began: false };
        assert!(self.open.insert(key, open).is_none(), "attempt {} is not new", key.1);
        self.deliver_after(ENDPOINT_LATENCY, Delivery::Arrive(home, key.1));
        self.deliver_after(limit, Delivery::Expire(home, key.1));
    }

    /// Delivers a request to its executor, even if the process that sent it has ended since.
    pub(super) fn arrive(&mut self, home: Home, attempt: AttemptId) {
        let Some(open) = self.open.get_mut(&(home, attempt)) else { return };
        let executor = self.executors.get_mut(&open.start.endpoint).expect("known executor");
        if let Some(reply) = executor.receive() {
            return self.report(home, attempt, reply);
        }
        open.began = true;
        let index = usize::from(open.start.task.index);
        let began = StartRecord {
            at: self.now,
            executor: executor.id,
            by: home,
            attempt,
            task: open.start.task,
            body: open.start.submission.tasks[index].body.clone(),
        };
        executor.running.push((home, attempt));
        let (id, run_time) = (executor.id, executor.run_time);
        let submission = open.start.submission.clone();
        let silent = executor.mode == Mode::SilentConnection;
        let running: Vec<_> = self.executors.values().flat_map(|x| x.running.clone()).collect();
        self.checker.began(&began, &submission, &self.starts, &running);
        self.starts.push(began);
        self.deliver_after(run_time, Delivery::Finish(home, attempt, id));
        if silent {
            self.deliver_after(Span(run_time.0 / 2), Delivery::Silence(home, attempt));
        }
    }

    pub(super) fn finish(&mut self, home: Home, attempt: AttemptId, id: EndpointId) {
        let executor = self.executors.get_mut(&id).expect("known executor");
        executor.running.retain(|running| *running != (home, attempt));
        let reply = self.open.get(&(home, attempt)).and_then(|open| {
            let index = usize::from(open.start.task.index);
            executor.reply(&open.start.submission.tasks[index].body)
        });
        if let Some(reply) = reply {
            self.report(home, attempt, reply);
        }
    }

    pub(super) fn report(&mut self, home: Home, attempt: AttemptId, reply: Reply) {
        let Some(open) = self.open.remove(&(home, attempt)) else { return };
        let leaving = self.executors[&open.start.endpoint].leaving
            && matches!(reply, Reply::Done(_) | Reply::Failed(_) | Reply::Refused(_));
        let leaving = leaving || reply == Reply::Refused(Refusal::Leaving);
        let elapsed = self.now.since(open.since);
        if leaving {
            self.checker.record_leaving(home, open.start.endpoint);
        }
        self.tell(home, Event::Report(Report { attempt, reply, leaving, elapsed }));
    }
}
