//! Data centres that are cut off, or whose entries are all gone.

mod common;

use common::fixture::{executor, home};
use runs::{Action, Entry, Event, Executor, Options, executor::Answered};
use site::{
    id::{DataCentreId, Home},
    unit::{Revision, Span, Time},
};

const STEP: Span = Span::from_millis(20);

const FAR: DataCentreId = DataCentreId(2);

/// An entry beside one of another data centre, which has an executor.
struct Scene {
    entry: Entry,
    now: Time,
    revision: u64,
    /// Looks at the executor, each of which fences whoever keeps it.
    looks: usize,
}

impl Scene {
    fn new() -> Self {
        let now = Time(1_000_000);
        let entry = Entry::new(home("entry-1"), Options::default(), now);
        let mut scene = Scene { entry, now, revision: 40, looks: 0 };
        scene.list(&[home("entry-1"), far()]);
        scene.feed(Event::Executors(vec![Executor { data_centre: FAR, ..executor() }]));
        scene
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.entry.handle(self.now, event, &mut out);
        for action in out {
            if let Action::Look(look) = action {
                self.looks += 1;
                let (executor, number, reply) = (look.executor, look.number, Answered::Silent);
                self.feed(Event::Looked { executor, number, reply });
            }
        }
    }

    fn list(&mut self, members: &[Home]) {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.feed(Event::Members { revision, members: members.to_vec() });
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.feed(Event::Tick);
        }
    }
}

fn far() -> Home {
    Home { data_centre: FAR, ..home("entry-2") }
}

/// Its entries lapse, its executors are silent; then all are back, the executors first.
#[test]
fn a_data_centre_that_is_cut_off_is_left_alone() {
    let mut scene = Scene::new();
    scene.feed(Event::PeerUp { peer: far() });
    scene.feed(Event::PeerDown { peer: far() });
    scene.list(&[home("entry-1")]);
    scene.wait(Span::from_secs(30));
    scene.feed(Event::ExecutorsHeard(vec![FAR]));
    scene.wait(Span::from_secs(1));
    scene.feed(Event::PeerUp { peer: far() });
    scene.wait(Span::from_secs(10));
    assert_eq!(scene.looks, 0);
}

#[test]
fn executors_whose_entries_are_gone_for_good_are_taken_over() {
    let mut scene = Scene::new();
    scene.list(&[home("entry-1")]);
    for _ in 0..5 {
        scene.feed(Event::ExecutorsHeard(vec![DataCentreId(1), FAR]));
        scene.wait(Span::from_secs(1));
    }
    assert!(scene.looks > 0);
}

/// What was heard before an earlier return says nothing of the next absence.
#[test]
fn each_absence_counts_anew() {
    let mut scene = Scene::new();
    scene.list(&[home("entry-1")]);
    scene.feed(Event::ExecutorsHeard(vec![FAR]));
    scene.wait(Span::from_secs(2));
    scene.list(&[home("entry-1"), far()]);
    scene.wait(Span::from_secs(2));
    scene.list(&[home("entry-1")]);
    scene.wait(Span::from_secs(10));
    assert_eq!(scene.looks, 0);
}
