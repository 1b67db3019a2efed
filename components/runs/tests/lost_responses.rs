//! What a keeper does while responses of an executor are lost.

mod common;

use common::fixture::{executor, home, job};
use runs::{
    Action, Entry, Event, Job, Options,
    action::Poll,
    executor::{Ended, Listing, Response, RunResult, StartResponse},
    job::{Answer, Run},
};
use site::{
    id::WaiterId,
    unit::{Revision, Span, Time},
};

const TICK_INTERVAL: Span = Span::from_millis(5);

/// An entry and its executor, whose responses are delivered only when a test does so.
struct Scene {
    entry: Entry,
    now: Time,
    running: Vec<Run>,
    ended: Vec<Ended>,
    polls: Vec<Poll>,
    stops: usize,
    answer: Option<Answer>,
    /// Whether starts get a response.
    responds_to_starts: bool,
}

impl Scene {
    /// A scene in which the executor is in use.
    fn new() -> Self {
        let me = home("entry-1");
        let now = Time(1_000_000);
        let mut scene = Scene {
            entry: Entry::new(me, Options::default(), now),
            now,
            running: Vec::new(),
            ended: Vec::new(),
            polls: Vec::new(),
            stops: 0,
            answer: None,
            responds_to_starts: true,
        };
        scene.handle(Event::Members { revision: Revision(41), members: vec![me] });
        scene.handle(Event::Executors(vec![executor()]));
        scene.wait(Span::from_millis(300));
        scene.respond_to_latest_poll();
        scene
    }

    fn handle(&mut self, event: Event) {
        let mut waiting = vec![event];
        while let Some(event) = waiting.pop() {
            let mut out = Vec::new();
            self.entry.handle(self.now, event, &mut out);
            waiting.extend(out.into_iter().filter_map(|action| self.carry_out(action)));
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Start(start) => {
                self.running.push(start.run.clone());
                let reply = StartResponse::Running { clock: self.clock() };
                let started = Event::Started { executor: start.executor, run: start.run, reply };
                return self.responds_to_starts.then_some(started);
            }
            Action::Poll(poll) => self.polls.push(poll),
            Action::Stop { .. } => self.stops += 1,
            Action::Answer { answer, .. } => self.answer = Some(answer),
            Action::Send { .. } | Action::Log(_) | Action::WatchExecutors(_) | Action::Exit => {}
        }
        None
    }

    fn clock(&self) -> u64 {
        self.now.0 / 1_000
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            self.handle(Event::Tick);
        }
    }

    fn respond_to_latest_poll(&mut self) {
        let Some(poll) = self.polls.pop() else { return };
        let listing = Listing {
            clock: self.clock(),
            running: self.running.clone(),
            ended: self.ended.clone(),
            ..Listing::default()
        };
        let reply = Response::Done(listing);
        self.handle(Event::Polled { executor: poll.executor, number: poll.number, reply });
    }

    /// Submits a job of one task with this estimate.
    fn submit(&mut self, estimate: Span) {
        self.polls.clear();
        let job = Job { estimate, ..job(self.now) };
        self.handle(Event::Submit { waiter: WaiterId(1), job });
    }

    /// Completes everything that runs on the executor.
    fn end(&mut self) {
        for run in std::mem::take(&mut self.running) {
            let number = self.ended.len() as u64 + 1;
            self.ended.push(Ended { number, run: Some(run), result: RunResult::Done });
        }
    }
}

/// The start was carried out and its response was lost: the executor is polled and the task
/// continues.
#[test]
fn a_run_whose_start_got_no_response_continues() {
    let mut scene = Scene::new();
    scene.responds_to_starts = false;
    scene.submit(Span::from_millis(900));
    // The executor holds back its response to the outstanding poll.
    scene.wait(Span::from_millis(60));
    let waits: Vec<_> = scene.polls.iter().map(|poll| poll.wait).collect();
    assert_eq!(waits.last(), Some(&Span::ZERO), "{waits:?}");
    scene.respond_to_latest_poll();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.stops, 0);
}

/// Neither a response nor a listing confirms the run.
#[test]
fn an_unconfirmed_run_is_stopped() {
    let mut scene = Scene::new();
    scene.responds_to_starts = false;
    scene.submit(Span::from_millis(900));
    scene.wait(Span::from_millis(160));
    assert_eq!(scene.stops, 1);
}

/// The response that listed the end is lost, as one before it was.
#[test]
fn an_executor_is_polled_again_when_the_response_with_an_end_is_lost() {
    let mut scene = Scene::new();
    scene.submit(Span::from_millis(60));
    // Longer than a response may be held back, so it counts as lost. The next one arrives.
    scene.wait(Span::from_millis(200));
    scene.end();
    scene.respond_to_latest_poll();
    assert_eq!(scene.answer.take(), Some(Answer::Completed));
    scene.submit(Span::from_millis(60));
    scene.end();
    scene.wait(Span::from_millis(130));
    let waits: Vec<_> = scene.polls.iter().map(|poll| poll.wait).collect();
    assert_eq!(waits.last(), Some(&Span::ZERO), "{waits:?}");
    scene.respond_to_latest_poll();
    assert_eq!(scene.answer, Some(Answer::Completed));
}
