//! Data centres that are cut off, or whose entries are all gone.

mod common;

use common::fixture::{executor, home};
use runs::{Action, Entry, Event, Executor, Options, executor::Response};
use site::{
    id::{DataCentreId, Home},
    unit::{Revision, Span, Time},
};

const TICK_INTERVAL: Span = Span::from_millis(20);

const OTHER_DATA_CENTRE: DataCentreId = DataCentreId(2);

/// An entry and, in another data centre, an entry that has an executor.
struct Scene {
    entry: Entry,
    now: Time,
    revision: u64,
    /// Polls of the executor. Each one fences the executor's keeper.
    polls: usize,
}

impl Scene {
    fn new() -> Self {
        let now = Time(1_000_000);
        let entry = Entry::new(home("entry-1"), Options::default(), now);
        let mut scene = Scene { entry, now, revision: 40, polls: 0 };
        scene.list(&[home("entry-1"), other_entry()]);
        scene.feed(Event::Executors(vec![Executor {
            data_centre: OTHER_DATA_CENTRE,
            ..executor()
        }]));
        scene
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.entry.handle(self.now, event, &mut out);
        for action in out {
            if let Action::Poll(poll) = action {
                self.polls += 1;
                let (executor, number, reply) = (poll.executor, poll.number, Response::Silent);
                self.feed(Event::Polled { executor, number, reply });
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
            self.now = self.now + TICK_INTERVAL;
            self.feed(Event::Tick);
        }
    }
}

fn other_entry() -> Home {
    Home { data_centre: OTHER_DATA_CENTRE, ..home("entry-2") }
}

/// The other data centre's entries expire and its executors are unresponsive; then all return, the
/// executors first. Taking the executors over would end what runs there.
#[test]
fn executors_of_a_cut_off_data_centre_are_not_taken_over() {
    let mut scene = Scene::new();
    scene.feed(Event::PeerUp { peer: other_entry() });
    scene.feed(Event::PeerDown { peer: other_entry() });
    scene.list(&[home("entry-1")]);
    scene.wait(Span::from_secs(30));
    scene.feed(Event::ExecutorsRenewed(vec![OTHER_DATA_CENTRE]));
    scene.wait(Span::from_secs(1));
    scene.feed(Event::PeerUp { peer: other_entry() });
    scene.wait(Span::from_secs(10));
    assert_eq!(scene.polls, 0);
}

#[test]
fn executors_whose_entries_stay_absent_are_taken_over() {
    let mut scene = Scene::new();
    scene.list(&[home("entry-1")]);
    for _ in 0..5 {
        scene.feed(Event::ExecutorsRenewed(vec![DataCentreId(1), OTHER_DATA_CENTRE]));
        scene.wait(Span::from_secs(1));
    }
    assert!(scene.polls > 0);
}

/// Renewals that were seen during an earlier absence must not count for the next one.
#[test]
fn renewals_during_an_earlier_absence_are_forgotten() {
    let mut scene = Scene::new();
    scene.list(&[home("entry-1")]);
    scene.feed(Event::ExecutorsRenewed(vec![OTHER_DATA_CENTRE]));
    scene.wait(Span::from_secs(2));
    scene.list(&[home("entry-1"), other_entry()]);
    scene.wait(Span::from_secs(2));
    scene.list(&[home("entry-1")]);
    scene.wait(Span::from_secs(10));
    assert_eq!(scene.polls, 0);
}
