//! Which of the tasks that wait is started next.

mod common;

use common::fixture::{executor, home, job};
use runs::{
    Action, Entry, Event, Executor, Job, Options,
    action::Look,
    executor::{Answered, Ended, How, Lists, Started},
    job::Run,
};
use site::{
    id::WaiterId,
    unit::{Cores, Resources, Revision, Slots, Span, Time},
};

const STEP: Span = Span::from_millis(5);

/// An entry with one executor of two slots, whose tasks end when a test says so.
struct Scene {
    entry: Entry,
    now: Time,
    running: Vec<Run>,
    ended: Vec<Ended>,
    /// Not answered yet.
    looks: Vec<Look>,
    /// All that was started, in order, by job and index.
    started: Vec<(String, u16)>,
    /// All that was stopped, in order, by job and index.
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
            looks: Vec::new(),
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
                let reply = Started::Running { clock };
                Some(Event::Started { executor: start.executor, run: start.run, reply })
            }
            Action::Stop { run, .. } => {
                self.stopped.push((run.job.to_string(), run.index));
                None
            }
            Action::Look(look) => {
                self.looks.push(look);
                None
            }
            _ => None,
        }
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.handle(Event::Tick);
            self.answer_looks();
        }
    }

    fn answer_looks(&mut self) {
        for look in std::mem::take(&mut self.looks) {
            let clock = self.now.0 / 1_000;
            let lists = Lists {
                clock,
                running: self.running.clone(),
                ended: self.ended.clone(),
                ..Lists::default()
            };
            let reply = Answered::Done(lists);
            self.handle(Event::Looked { executor: look.executor, number: look.number, reply });
        }
    }

    /// Hands a job in whose answer is late after `due`.
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
        self.ended.push(Ended { number, run: Some(run), how: How::Done });
        self.wait(Span::from_millis(20));
    }
}

#[test]
fn a_job_that_runs_goes_before_a_fresh_one_that_is_more_pressing() {
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

/// A wide job of two tasks runs, of which the first ends in time if `works`, and the other takes
/// `span`. Returns what was stopped.
fn outlast(works: bool, span: Span) -> Vec<(String, u16)> {
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
fn a_run_that_takes_longer_than_estimated_goes_on_where_others_end() {
    let four_estimates = Span::from_millis(1_600);
    assert_eq!(outlast(true, four_estimates), []);
    assert_eq!(outlast(false, four_estimates).len(), 2);
}

#[test]
fn a_run_that_stands_still_is_stopped_where_others_end() {
    let eight_estimates = Span::from_millis(3_200);
    assert_eq!(outlast(true, eight_estimates), [("wide".to_owned(), 1)]);
}
