//! Which entries watch the registrations of executors. Each registration is renewed continually, so
//! the cost would otherwise grow with the number of entries times the number of executors.

mod common;

use common::fixture::{executor, home, job, sign};
use runs::{
    Action, Cordon, Entry, Event, Message, Options,
    job::Answer,
    message::{Report, Room},
};
use site::{
    id::{DataCentreId, Home, WaiterId},
    unit::{Cores, Revision, Span, Time},
};

const TICK_INTERVAL: Span = Span::from_millis(20);

struct Scene {
    entry: Entry,
    now: Time,
    revision: u64,
    is_watching: Option<bool>,
    answers: Vec<Answer>,
}

impl Scene {
    fn new(options: Options) -> Self {
        let now = Time(1_000_000);
        let entry = Entry::new(home("entry-0"), options, now);
        Scene { entry, now, revision: 40, is_watching: None, answers: Vec::new() }
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.entry.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::WatchExecutors(wanted) => self.is_watching = Some(wanted),
                Action::Answer { answer, .. } => self.answers.push(answer),
                _ => {}
            }
        }
    }

    /// Lists the entry with `own` processor, and other entries with the given processors.
    fn list(&mut self, own: u32, others: &[u32]) {
        self.revision += 1;
        let others = others.iter().enumerate();
        let others = others.map(|(index, cores)| (home(&format!("entry-{}", index + 1)), *cores));
        let all: Vec<(Home, u32)> = [(home("entry-0"), own)].into_iter().chain(others).collect();
        let processors = all.iter().map(|(home, cores)| (home.entry, Cores(*cores))).collect();
        self.feed(Event::Processors(processors));
        let members = all.into_iter().map(|(home, _)| home).collect();
        self.feed(Event::Members { revision: Revision(self.revision), members });
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            self.feed(Event::Tick);
        }
    }

    /// Delivers a report of a keeper in the entry's data centre.
    fn report(&mut self, peer: Home, report: Report) {
        let report = Report { sign: sign(self.now), capacity: 8, ..report };
        self.feed(Event::Message { from: peer, message: Message::Report(report) });
    }
}

#[test]
fn small_entries_beside_large_ones_never_watch() {
    let mut scene = Scene::new(Options::default());
    scene.list(120, &[1_000, 1_000, 120, 120]);
    scene.wait(Span::from_secs(2));
    assert_eq!(scene.is_watching, None);
}

#[test]
fn entries_of_equal_size_all_watch_at_once() {
    for cores in [0, 250] {
        let mut scene = Scene::new(Options::default());
        scene.list(cores, &[cores; 4]);
        assert_eq!(scene.is_watching, Some(true), "at {cores}");
    }
}

/// All entries start at the same time, and the large ones may be listed last.
#[test]
fn a_small_entry_gives_large_ones_time_to_start() {
    let mut scene = Scene::new(Options::default());
    scene.list(120, &[120]);
    scene.wait(Span::from_millis(60));
    scene.list(120, &[120, 1_000]);
    scene.wait(Span::from_secs(1));
    assert_eq!(scene.is_watching, None);
}

#[test]
fn a_small_entry_watches_while_there_is_no_large_one() {
    let mut scene = Scene::new(Options::default());
    scene.list(120, &[1_000, 120]);
    scene.wait(Span::from_secs(1));
    scene.list(120, &[]);
    scene.wait(Span::from_millis(200));
    assert_eq!(scene.is_watching, Some(true));
    scene.feed(Event::Executors(vec![executor()]));
    scene.list(120, &[1_000, 120]);
    scene.wait(Span::from_millis(200));
    assert_eq!(scene.is_watching, Some(false));
}

#[test]
fn all_entries_watch_without_follow_if_keeper() {
    let mut scene = Scene::new(Options { follow_if_keeper: false, ..Options::default() });
    scene.list(120, &[1_000]);
    assert_eq!(scene.is_watching, Some(true));
}

/// Such an entry knows no executors, but has to reject at once a job that can't run.
#[test]
fn jobs_are_rejected_while_all_keepers_are_under_cordon() {
    let mut scene = Scene::new(Options::default());
    scene.list(120, &[1_000, 1_000]);
    let keepers = [home("entry-1"), home("entry-2")];
    keepers.iter().for_each(|peer| scene.feed(Event::PeerUp { peer: *peer }));
    let cordon = Cordon::new(Revision(50), [DataCentreId(1)]);
    scene.feed(Event::Cordoned(cordon));
    scene.report(keepers[0], Report { cordoned: true, ..Report::default() });
    let room = Room { cores: vec![100], ahead: 0, speeds: Vec::new() };
    scene.report(keepers[1], Report { room, ..Report::default() });
    scene.feed(Event::Submit { waiter: WaiterId(1), job: job(scene.now) });
    assert_eq!(scene.answers, [], "one of them still takes work");
    scene.report(keepers[1], Report { cordoned: true, ..Report::default() });
    assert!(matches!(scene.answers[..], [Answer::Rejected { .. }]), "{:?}", scene.answers);
    scene.feed(Event::Submit { waiter: WaiterId(2), job: job(scene.now) });
    assert!(matches!(scene.answers[..], [_, Answer::Rejected { .. }]), "{:?}", scene.answers);
}
