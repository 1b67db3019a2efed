//! Data centres under cordon: nothing is started there.

mod common;

use common::fixture::{executor, home, job, needs, sign};
use lab::simulation::{Fault, Plan, Simulation};
use runs::{
    Action, Cordon, Entry, Event, Executor, Job, Message, Options,
    executor::{Ended, Listing, Response, RunResult},
    job::{Answer, Run},
    message::Report,
};
use site::{
    id::{DataCentreId, EndpointId, WaiterId},
    unit::{Cores, Resources, Revision, Slots, Span, Time},
};
use std::collections::BTreeMap;

/// The data centre of [`executor`].
const HERE: DataCentreId = DataCentreId(1);

/// An entry that keeps one executor in each of two data centres. Short polls are answered at once.
struct Site {
    entry: Entry,
    now: Time,
    started: Vec<EndpointId>,
    runs: Vec<Run>,
    /// The latest poll of each executor that has got no response.
    polls: BTreeMap<EndpointId, u64>,
    answers: Vec<Answer>,
}

impl Site {
    fn start() -> Self {
        let me = home("entry-1");
        let now = Time(1_000_000);
        let entry = Entry::new(me, Options::default(), now);
        let mut site = Self {
            entry,
            now,
            started: Vec::new(),
            runs: Vec::new(),
            polls: BTreeMap::new(),
            answers: Vec::new(),
        };
        site.feed(Event::Members { revision: Revision(41), members: vec![me] });
        site.feed(Event::Executors(vec![executor(), other()]));
        site.run(Span::from_secs(1));
        site
    }

    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.entry.handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Start(start) => {
                        self.started.push(start.executor);
                        self.runs.push(start.run);
                    }
                    Action::Answer { answer, .. } => self.answers.push(answer),
                    Action::Poll(poll) if poll.wait == Span::ZERO => {
                        let listing = Listing { clock: self.now.0 / 1_000, ..Listing::default() };
                        let (executor, number) = (poll.executor, poll.number);
                        let reply = Response::Done(listing);
                        events.push(Event::Polled { executor, number, reply });
                    }
                    Action::Poll(poll) => {
                        self.polls.insert(poll.executor, poll.number);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Completes the only run of an executor.
    fn end(&mut self, executor: EndpointId) {
        let index = self.started.iter().position(|started| *started == executor);
        let run = index.map(|index| self.runs[index].clone());
        let ended = vec![Ended { number: 1, run, result: RunResult::Done }];
        let listing = Listing { clock: self.now.0 / 1_000, ended, ..Listing::default() };
        let number = self.polls[&executor];
        self.feed(Event::Polled { executor, number, reply: Response::Done(listing) });
    }

    fn run(&mut self, span: Span) {
        for _ in 0..span.0 / 20_000 {
            self.now = self.now + Span::from_millis(20);
            self.feed(Event::Tick);
        }
    }

    fn submit(&mut self, number: u64) {
        self.submit_wide(number, needs().cores.0);
    }

    fn submit_wide(&mut self, number: u64, cores: u32) {
        let needs = Resources { slots: Slots(1), cores: Cores(cores), ..Resources::default() };
        let name = format!("{number:016x}").into();
        let job = Job { name, needs, ..job(self.now) };
        self.feed(Event::Submit { waiter: WaiterId(number), job });
    }

    fn is_rejected(&self) -> bool {
        matches!(self.answers[..], [Answer::Rejected { .. }])
    }
}

/// An executor in a data centre without entries.
fn other() -> Executor {
    Executor {
        id: EndpointId::of("i-2"),
        name: "i-2".into(),
        data_centre: DataCentreId(2),
        ..executor()
    }
}

fn cordon(revision: u64, data_centres: &[u64]) -> Cordon {
    Cordon::new(Revision(revision), data_centres.iter().map(|id| DataCentreId(*id)))
}

#[test]
fn nothing_is_started_under_a_cordon_and_work_goes_elsewhere() {
    let mut site = Site::start();
    site.feed(Event::Cordoned(cordon(50, &[1])));
    for number in 1..=6 {
        site.submit(number);
    }
    assert_eq!(site.started, [other().id; 6]);
    site.feed(Event::Cordoned(cordon(51, &[])));
    for number in 7..=8 {
        site.submit(number);
    }
    site.submit_wide(9, 60_000);
    assert!(site.started[6..].contains(&executor().id), "{:?}", site.started);
}

#[test]
fn pending_tasks_are_not_started_when_room_becomes_free_under_a_cordon() {
    let mut site = Site::start();
    site.submit_wide(1, 60_000);
    site.submit_wide(2, 60_000);
    site.submit_wide(3, 60_000);
    assert_eq!(site.started.len(), 2);
    site.feed(Event::Cordoned(cordon(50, &[2])));
    site.run(Span::from_millis(100));
    site.end(other().id);
    site.run(Span::from_millis(100));
    assert_eq!(site.started.len(), 2, "a start under the cordon");
    site.end(executor().id);
    assert_eq!(site.started[2..], [executor().id]);
}

#[test]
fn jobs_are_rejected_at_once_while_all_executors_are_under_cordon() {
    let mut site = Site::start();
    site.feed(Event::Cordoned(cordon(50, &[1, 2])));
    site.submit(1);
    assert!(site.is_rejected(), "{:?}", site.answers);
    site.feed(Event::Cordoned(cordon(51, &[1])));
    site.submit(2);
    assert_eq!(site.started, [other().id]);
}

#[test]
fn pending_jobs_are_rejected_when_the_last_executor_comes_under_cordon() {
    let mut site = Site::start();
    site.submit_wide(1, 60_000);
    site.submit_wide(2, 60_000);
    site.submit_wide(3, 60_000);
    site.feed(Event::Cordoned(cordon(50, &[1, 2])));
    assert!(site.is_rejected(), "{:?}", site.answers);
    assert_eq!(site.started.len(), 2, "running tasks continue");
}

#[test]
fn a_cordon_of_an_unknown_data_centre_changes_nothing() {
    let mut site = Site::start();
    site.feed(Event::Cordoned(cordon(50, &[77])));
    site.submit(1);
    assert_eq!(site.started.len(), 1);
}

#[test]
fn an_older_cordon_is_ignored() {
    let mut site = Site::start();
    site.feed(Event::Cordoned(cordon(60, &[1])));
    site.feed(Event::Cordoned(cordon(55, &[])));
    site.submit(1);
    assert_eq!(site.started, [other().id]);
    // Unchanged, but read at a later revision than the cordon that a peer reports next.
    site.feed(Event::Cordoned(cordon(70, &[1])));
    let peer = home("entry-2");
    site.feed(Event::PeerUp { peer });
    let report = Report { sign: sign(site.now), cordon: cordon(65, &[]), ..Report::default() };
    site.feed(Event::Message { from: peer, message: Message::Report(report) });
    site.submit(2);
    assert_eq!(site.started, [other().id; 2]);
}

#[test]
fn a_cordon_in_a_peer_s_report_is_applied() {
    let mut site = Site::start();
    let peer = home("entry-2");
    site.feed(Event::PeerUp { peer });
    let report = Report { sign: sign(site.now), cordon: cordon(65, &[1]), ..Report::default() };
    site.feed(Event::Message { from: peer, message: Message::Report(report) });
    site.submit(1);
    assert_eq!(site.started, [other().id]);
}

#[test]
fn a_cordon_is_reported_to_all_peers_at_once() {
    let me = home("entry-1");
    let begun = Time(1_000_000);
    let mut entry = Entry::new(me, Options::default(), begun);
    let mut out = Vec::new();
    let peers: Vec<_> = (0..40).map(|number| home(&format!("peer-{number}"))).collect();
    for peer in &peers {
        entry.handle(begun, Event::PeerUp { peer: *peer }, &mut out);
    }
    entry.handle(begun + Span::from_millis(20), Event::Tick, &mut out);
    out.clear();
    let now = begun + Span::from_millis(25);
    entry.handle(now, Event::Cordoned(cordon(50, &[1])), &mut out);
    for peer in peers {
        let has_report = out.iter().any(|action| match action {
            Action::Send { to, message: Message::Report(report) } => {
                *to == peer && report.cordon.covers(HERE)
            }
            _ => false,
        });
        assert!(has_report, "{peer} got no report of it");
    }
}

fn plan(faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        entries: 6,
        data_centres: 3,
        executors: 24,
        rate: 20,
        seconds: 14,
        faults,
        ..Plan::default()
    }
}

fn play(plan: Plan, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(plan, seed);
    simulation.play();
    simulation
}

fn cordoned(data_centre: usize, ms: u64) -> Fault {
    Fault::Cordon { data_centre, ms }
}

/// The simulation checks at each start that the executor's data centre is not under cordon.
#[test]
fn nearly_all_jobs_complete_despite_cordons() {
    for seed in 0..4 {
        let faults = vec![
            (1_000, cordoned(0, 7_000)),
            (9_000, cordoned(1, 400)),
            (9_700, cordoned(1, 3_000)),
        ];
        let simulation = play(plan(faults), seed);
        let completed = simulation.answers.get("completed").copied().unwrap_or_default();
        let asked: u64 = simulation.answers.values().sum();
        assert!(completed * 100 > asked * 95, "{:?}", simulation.answers);
    }
}

#[test]
fn jobs_are_rejected_while_all_data_centres_are_under_cordon() {
    let faults = vec![
        (1_000, cordoned(0, 10_000)),
        (2_000, cordoned(1, 10_000)),
        (8_000, cordoned(2, 2_000)),
    ];
    let simulation = play(plan(faults), 1);
    assert!(
        simulation.answers.get("refused").copied().unwrap_or_default() > 0,
        "{:?}",
        simulation.answers
    );
}

#[test]
fn cordons_hold_through_kills_cuts_restarts_and_lost_orders() {
    for seed in 0..12 {
        let mut faults = vec![(800, cordoned(0, 7_000)), (9_000, cordoned(2, 5_000))];
        for entry in 0..6 {
            faults.push((1_500 + 700 * entry as u64, Fault::Kill { entry }));
            faults.push((9_200 + 300 * entry as u64, Fault::Cut { entry, ms: 900 }));
        }
        faults.push((3_000, Fault::Blind { entry: 2, ms: 9_000 }));
        let mut plan = plan(faults);
        plan.lost_orders = (seed % 2 == 1).then_some(20);
        play(plan, seed);
    }
}

/// All processes are killed at once under a cordon that they have to read again.
#[test]
fn a_cordon_holds_after_all_entries_were_killed() {
    for seed in 0..4 {
        let mut faults = vec![(500, cordoned(1, 9_000))];
        faults.extend((0..6).map(|entry| (6_000, Fault::Kill { entry })));
        play(plan(faults), seed);
    }
}

#[test]
fn entries_without_the_store_respect_cordons() {
    for seed in 0..4 {
        let mut faults: Vec<_> =
            (0..6).step_by(2).map(|entry| (400, Fault::Blind { entry, ms: 12_000 })).collect();
        faults.push((800, cordoned(0, 5_000)));
        faults.push((7_000, cordoned(1, 5_000)));
        play(plan(faults), seed);
    }
}
