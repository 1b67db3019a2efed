//! Which pending task is started next.

mod common;

use common::fixture::{executor, home, job};
use runs::{
    Action, Entry, Event, Executor, Job, Options,
    action::Poll,
    executor::{Ended, Listing, Response, RunResult, StartResponse},
    job::Run,
};
use site::{
    id::WaiterId,
    unit::{Cores, Resources, Revision, Slots, Span, Time},
};

const TICK_INTERVAL: Span = Span::from_millis(5);

/// An entry with one executor of two slots, whose tasks end when a test says so.
struct Scene {
    entry: Entry,
    now: Time,
    running: Vec<Run>,
    ended: Vec<Ended>,
    /// Polls without a response yet.
    polls: Vec<Poll>,
    /// All runs that were started, in order, by job and index.
    started: Vec<(String, u16)>,
    /// All runs that were stopped, in order, by job and index.
    stopped: Vec<(String, u16)>,
    jobs: u64,
}

impl Scene {
    fn new() -> Self {
        let me = home("entry-1");
        let now = Time(1_000_000);
        let mut scene = Scene {
            entry: Entry::new(me, Options::default(), now),
            now,
            running: Vec::new(),
            ended: Vec::new(),
            polls: Vec::new(),
            started: Vec::new(),
            stopped: Vec::new(),
            jobs: 0,
        };
        scene.handle(Event::Members { revision: Revision(41), members: vec![me] });
        let capacity = Resources { slots: Slots(2), cores: Cores(2_000), ..Resources::default() };
        scene.handle(Event::Executors(vec![Executor { capacity, ..executor() }]));
        scene.wait(Span::from_millis(300));
        scene
    }

    fn handle(&mut self, event: Event) {
        let mut waiting = vec![event];
        while let Some(event) = waiting.pop() {
            let mut out = Vec::new();
            self.entry.handle(self.now, event, &mut out);
            waiting.extend(out.into_iter().filter_map(|action| self.answer(action)));
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        let clock = self.now.0 / 1_000;
        match action {
            Action::Start(start) => {
                self.running.push(start.run.clone());
                self.started.push((start.run.job.to_string(), start.run.index));
                let reply = StartResponse::Running { clock };
                Some(Event::Started { executor: start.executor, run: start.run, reply })
            }
            Action::Stop { run, .. } => {
                self.stopped.push((run.job.to_string(), run.index));
                None
            }
            Action::Poll(poll) => {
                self.polls.push(poll);
                None
            }
            _ => None,
        }
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            self.handle(Event::Tick);
            self.respond_to_polls();
        }
    }

    fn respond_to_polls(&mut self) {
        for poll in std::mem::take(&mut self.polls) {
            let clock = self.now.0 / 1_000;
            let listing = Listing {
                clock,
                running: self.running.clone(),
                ended: self.ended.clone(),
                ..Listing::default()
            };
            let reply = Response::Done(listing);
            self.handle(Event::Polled { executor: poll.executor, number: poll.number, reply });
        }
    }

    /// Submits a job whose deadline is in `due`.
    fn submit(&mut self, name: &str, tasks: u16, due: Span) {
        self.jobs += 1;
        let job = Job {
            name: name.into(),
            tasks,
            estimate: Span::from_millis(400),
            due: self.now + due,
            ..job(self.now)
        };
        self.handle(Event::Submit { waiter: WaiterId(self.jobs), job });
    }

    fn end(&mut self, name: &str, index: u16) {
        let position = self.running.iter().position(|run| run.job == name && run.index == index);
        let run = self.running.remove(position.expect("the task runs"));
        let number = self.ended.len() as u64 + 1;
        self.ended.push(Ended { number, run: Some(run), result: RunResult::Done });
        self.wait(Span::from_millis(20));
    }
}

#[test]
fn a_job_that_has_begun_precedes_a_more_urgent_new_one() {
    let mut scene = Scene::new();
    scene.submit("first", 1, Span::from_secs(2));
    scene.submit("wide", 2, Span::from_secs(2));
    scene.wait(Span::from_millis(100));
    scene.submit("pressing", 1, Span::from_millis(900));
    scene.wait(Span::from_millis(20));
    scene.end("first", 0);
    let (wide, first) = (("wide".to_owned(), 0), ("first".to_owned(), 0));
    assert_eq!(scene.started, [first, wide, ("wide".to_owned(), 1)]);
}

/// Runs a job of two tasks, of which the first completes in time if `works`, and the second takes
/// `span`. Returns what was stopped.
fn stopped_when_overdue(works: bool, span: Span) -> Vec<(String, u16)> {
    let mut scene = Scene::new();
    scene.submit("wide", 2, Span::from_secs(4));
    scene.wait(Span::from_millis(380));
    if works {
        scene.end("wide", 0);
    }
    scene.wait(span - Span::from_millis(400));
    scene.stopped
}

#[test]
fn an_overdue_run_continues_on_an_executor_that_completes_others() {
    let four_estimates = Span::from_millis(1_600);
    assert_eq!(stopped_when_overdue(true, four_estimates), []);
    assert_eq!(stopped_when_overdue(false, four_estimates).len(), 2);
}

#[test]
fn a_hung_run_is_stopped_on_an_executor_that_completes_others() {
    let eight_estimates = Span::from_millis(3_200);
    assert_eq!(stopped_when_overdue(true, eight_estimates), [("wide".to_owned(), 1)]);
}
