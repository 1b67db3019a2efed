//! What a home does when runs of its tasks get another keeper.

mod common;

use common::fixture::{home, job, sign};
use runs::{
    Action, Entry, Event, Job, Message, Options,
    action::Decision,
    job::{Answer, Key, Task},
    message::{End, Ended, Moved, Report, Room},
};
use site::{
    id::WaiterId,
    unit::{Span, Time},
};

const WAITER: WaiterId = WaiterId(1);

/// A home of one job. In most tests it loses the first keeper and places the task again at another.
struct Scene {
    entry: Entry,
    now: Time,
    task: Task,
    /// Numbers of the runs that were placed.
    runs: Vec<u32>,
    out: Vec<Action>,
}

impl Scene {
    fn new() -> Self {
        let me = home("entry-1");
        let now = Time(1_000_000);
        let task = Task { job: Key { home: me, number: 1 }, index: 0 };
        let entry = Entry::new(me, Options::default(), now);
        let mut scene = Scene { entry, now, task, runs: Vec::new(), out: Vec::new() };
        scene.reports("keeper-1");
        let job = Job { due: now + Span::from_secs(6), ..job(now) };
        scene.handle(Event::Submit { waiter: WAITER, job });
        scene
    }

    fn handle(&mut self, event: Event) {
        self.out.clear();
        self.entry.handle(self.now, event, &mut self.out);
        let placed = self.out.iter().filter_map(|action| match action {
            Action::Send { message: Message::Place(placement), .. } => Some(placement),
            _ => None,
        });
        let runs = placed.flat_map(|placement| placement.tasks.iter().map(|place| place.run));
        self.runs.extend(runs);
    }

    /// A keeper is connected and has room.
    fn reports(&mut self, keeper: &str) {
        let peer = home(keeper);
        self.handle(Event::PeerUp { peer });
        let room = Room { cores: vec![8_000], ahead: 0, speeds: Vec::new() };
        let report = Report { sign: sign(self.now), room, capacity: 8, ..Report::default() };
        self.handle(Event::Message { from: peer, message: Message::Report(report) });
    }

    fn loses(&mut self, keeper: &str) {
        self.handle(Event::PeerDown { peer: home(keeper) });
    }

    /// Waits longer than a home waits for runs at a lost keeper.
    fn waits(&mut self) {
        for _ in 0..100 {
            self.now = self.now + Span::from_millis(20);
            self.handle(Event::Tick);
        }
        self.reports("keeper-2");
    }

    fn moves(&mut self, keeper: &str, run: u32) {
        let moved = vec![Moved { task: self.task, run }];
        self.handle(Event::Message { from: home(keeper), message: Message::Moved(moved) });
    }

    fn ends(&mut self, keeper: &str, run: u32, end: End) {
        let ended = vec![Ended { task: self.task, run, executor: None, end }];
        self.handle(Event::Message { from: home(keeper), message: Message::Ended(ended) });
    }

    fn answer(&self) -> Option<Answer> {
        self.out.iter().find_map(|action| match action {
            Action::Answer { answer, .. } => Some(*answer),
            _ => None,
        })
    }

    /// Whether the latest event made the home cancel the task at a keeper.
    fn cancels(&self, keeper: &str) -> bool {
        self.out.iter().any(|action| match action {
            Action::Send { to, message: Message::Cancel(tasks) } => {
                *to == home(keeper) && tasks.contains(&self.task)
            }
            _ => false,
        })
    }
}

#[test]
fn a_run_that_moves_while_its_home_waits_for_its_end_is_not_started_again() {
    let mut scene = Scene::new();
    scene.reports("keeper-2");
    scene.loses("keeper-1");
    scene.moves("keeper-3", 1);
    scene.waits();
    assert_eq!(scene.runs, [1]);
    scene.ends("keeper-3", 1, End::Done);
    assert_eq!(scene.answer(), Some(Answer::Completed));
}

#[test]
fn a_run_that_moves_after_another_was_placed_is_cancelled() {
    let mut scene = Scene::new();
    scene.reports("keeper-2");
    scene.loses("keeper-1");
    scene.waits();
    assert_eq!(scene.runs, [1, 2]);
    scene.moves("keeper-3", 1);
    assert!(scene.cancels("keeper-3"), "{:?}", scene.out);
    scene.ends("keeper-3", 1, End::Lost);
    scene.waits();
    assert_eq!(scene.runs, [1, 2], "the task was placed again beside its second run");
    scene.ends("keeper-2", 2, End::Done);
    assert_eq!(scene.answer(), Some(Answer::Completed));
}

#[test]
fn the_end_of_an_old_run_does_not_end_the_next_run_at_the_same_keeper() {
    let mut scene = Scene::new();
    scene.reports("keeper-2");
    scene.loses("keeper-1");
    scene.waits();
    scene.moves("keeper-2", 1);
    scene.ends("keeper-2", 1, End::Lost);
    scene.waits();
    assert_eq!(scene.runs, [1, 2], "the task was placed again beside its second run");
    scene.ends("keeper-2", 2, End::Done);
    assert_eq!(scene.answer(), Some(Answer::Completed));
}

#[test]
fn a_run_that_moves_after_the_next_one_ended_is_cancelled_and_its_number_is_not_reused() {
    let mut scene = Scene::new();
    scene.reports("keeper-2");
    scene.loses("keeper-1");
    scene.waits();
    scene.ends("keeper-2", 2, End::Unsure);
    scene.moves("keeper-3", 1);
    assert!(scene.cancels("keeper-3"), "{:?}", scene.out);
    assert_eq!(scene.runs, [1, 2], "the task was placed while its first run is there");
    scene.waits();
    assert_eq!(scene.runs, [1, 2, 3]);
}

#[test]
fn a_run_that_moves_after_its_job_was_answered_is_cancelled() {
    let mut scene = Scene::new();
    scene.handle(Event::Leave { waiter: WAITER });
    let left = |action: &Action| matches!(action, Action::Log(Decision::Left { .. }));
    assert!(scene.out.iter().any(left));
    scene.moves("keeper-3", 1);
    assert!(scene.cancels("keeper-3"), "{:?}", scene.out);
}
