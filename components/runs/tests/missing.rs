//! What a keeper does while answers of an executor are missing.

mod common;

use common::fixture::{executor, home, job};
use runs::{
    Action, Entry, Event, Job, Options,
    action::Look,
    executor::{Answered, Ended, How, Lists, Started},
    job::{Answer, Run},
};
use site::{
    id::WaiterId,
    unit::{Revision, Span, Time},
};

const STEP: Span = Span::from_millis(5);

/// An entry and its executor, which is heard only when a test says so.
struct Scene {
    entry: Entry,
    now: Time,
    running: Vec<Run>,
    ended: Vec<Ended>,
    looks: Vec<Look>,
    stops: usize,
    answer: Option<Answer>,
    /// Whether starts are answered.
    answers_starts: bool,
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
            looks: Vec::new(),
            stops: 0,
            answer: None,
            answers_starts: true,
        };
        scene.handle(Event::Members { revision: Revision(41), members: vec![me] });
        scene.handle(Event::Executors(vec![executor()]));
        scene.wait(Span::from_millis(300));
        scene.answer_latest_look();
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
                let reply = Started::Running { clock: self.clock() };
                let started = Event::Started { executor: start.executor, run: start.run, reply };
                return self.answers_starts.then_some(started);
            }
            Action::Look(look) => self.looks.push(look),
            Action::Stop { .. } => self.stops += 1,
            Action::Answer { answer, .. } => self.answer = Some(answer),
            Action::Send { .. } | Action::Log(_) | Action::FollowExecutors(_) | Action::Exit => {}
        }
        None
    }

    fn clock(&self) -> u64 {
        self.now.0 / 1_000
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.handle(Event::Tick);
        }
    }

    fn answer_latest_look(&mut self) {
        let Some(look) = self.looks.pop() else { return };
        let lists = Lists {
            clock: self.clock(),
            running: self.running.clone(),
            ended: self.ended.clone(),
            ..Lists::default()
        };
        let reply = Answered::Done(lists);
        self.handle(Event::Looked { executor: look.executor, number: look.number, reply });
    }

    /// Submits a job of one task of that estimate.
    fn submit(&mut self, estimate: Span) {
        self.looks.clear();
        let job = Job { estimate, ..job(self.now) };
        self.handle(Event::Submit { waiter: WaiterId(1), job });
    }

    /// The executor ends what runs there.
    fn end(&mut self) {
        for run in std::mem::take(&mut self.running) {
            let number = self.ended.len() as u64 + 1;
            self.ended.push(Ended { number, run: Some(run), how: How::Done });
        }
    }
}

/// The order arrived and its answer was lost: the executor is asked, and the task goes on.
#[test]
fn a_run_whose_start_was_not_answered_goes_on() {
    let mut scene = Scene::new();
    scene.answers_starts = false;
    scene.submit(Span::from_millis(900));
    // The executor holds back its answer to the look that is on its way.
    scene.wait(Span::from_millis(60));
    let waits: Vec<_> = scene.looks.iter().map(|look| look.wait).collect();
    assert_eq!(waits.last(), Some(&Span::ZERO), "{waits:?}");
    scene.answer_latest_look();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.stops, 0);
}

/// Nothing is heard of the run at all.
#[test]
fn a_run_of_which_nothing_is_heard_is_stopped() {
    let mut scene = Scene::new();
    scene.answers_starts = false;
    scene.submit(Span::from_millis(900));
    scene.wait(Span::from_millis(160));
    assert_eq!(scene.stops, 1);
}

/// The answer that told of the end is lost, as one before it was.
#[test]
fn an_end_is_asked_for_when_its_answer_is_missing() {
    let mut scene = Scene::new();
    scene.submit(Span::from_millis(60));
    // Longer than an answer may be held back: it is missing. The next one comes.
    scene.wait(Span::from_millis(200));
    scene.end();
    scene.answer_latest_look();
    assert_eq!(scene.answer.take(), Some(Answer::Completed));
    scene.submit(Span::from_millis(60));
    scene.end();
    scene.wait(Span::from_millis(130));
    let waits: Vec<_> = scene.looks.iter().map(|look| look.wait).collect();
    assert_eq!(waits.last(), Some(&Span::ZERO), "{waits:?}");
    scene.answer_latest_look();
    assert_eq!(scene.answer, Some(Answer::Completed));
}
