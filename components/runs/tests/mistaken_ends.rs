//! Ends of runs that an entry could mistake for others: for crashes, for starts that never ran, and
//! for ends of runs that go on.

mod common;

use common::{
    executors::{Process, Scene, named, renamed},
    fixture::{home, job, needs, sign},
};
use runs::{
    Action, Entry, Event, Executor, Job, Message, Options,
    action::Poll,
    executor::{Ended, Incarnation, Listing, Refusal, Response, RunResult},
    job::{Answer, Key, Run, Task},
    message::{self, End, Moved, Report, Room, Transfer, TransferredRun},
};
use site::{
    id::{EndpointId, WaiterId},
    unit::{Revision, Span, Time},
};

/// An executor that starts each incarnation under another name.
/// The connections to the executors broke after the starts had been written to them, as they do
/// when a machine has crashed and its address is in use again. Nothing shows that this task crashed
/// any of them, and a sound one is left.
#[test]
fn executors_replaced_before_they_confirmed_a_start_do_not_exhaust_a_job() {
    let mut scene = Scene::new((0..6).map(|index| renamed(&format!("i-{index}"))).collect());
    let ids: Vec<_> = scene.executors.keys().copied().collect();
    // Of executors with the same room, that with the lowest id is used last.
    for id in &ids[1..] {
        scene.executor(*id).process = Process::Silent;
    }
    scene.submit();
    // A poll that an executor does not answer any more is repeated later.
    for _ in 0..8 {
        let latest = scene.latest();
        if scene.executor(latest).process == Process::Silent {
            scene.executor(latest).process = Process::Replaced;
        }
        scene.wait(Span::from_millis(60));
    }
    assert_eq!(scene.answers, []);
    assert_eq!(scene.starts.len(), 6);
}

/// Another submission of the job has run the task, or was stopped there before it did.
#[test]
fn a_job_whose_start_is_refused_as_old_is_not_reported_as_not_run() {
    let mut scene = Scene::new(vec![renamed("i-0")]);
    let id = EndpointId::of("i-0");
    scene.executor(id).process = Process::Refusing(Refusal::OldRun);
    scene.submit();
    scene.handle(Event::Executors(vec![Executor { leaving: true, ..renamed("i-0") }]));
    scene.wait(Span::from_secs(31));
    assert_eq!(scene.starts.len(), 1);
    assert_eq!(scene.answers, [Answer::GivenUp]);
}

/// Otherwise the task is sent there again at once, for as long as the executor is unhealthy.
#[test]
fn an_unhealthy_executor_gets_no_task_again_at_once() {
    let mut scene = Scene::new(vec![renamed("i-0")]);
    scene.executor(EndpointId::of("i-0")).process = Process::Refusing(Refusal::Unhealthy);
    scene.submit();
    scene.wait(Span::from_millis(500));
    // As for an executor without room: one start in 100 ms.
    assert!(scene.starts.len() <= 6, "{} starts", scene.starts.len());
}

/// Makes an entry believe at two executors in turn that the run there has ended. The executors are
/// alive and have every run that was started on them.
fn mislead_twice(scene: &mut Scene, mislead: impl Fn(&mut Scene, EndpointId)) {
    scene.submit();
    for _ in 0..2 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        mislead(scene, latest);
        scene.wait(Span::from_millis(100));
    }
}

/// An executor of a machine whose wall clock was set back, so that the current incarnation has an
/// earlier start time than the one that is registered.
fn set_back() -> Scene {
    let names = ["i-0", "i-1", "i-2"];
    let mut scene = Scene::new(names.map(named).to_vec());
    for name in names {
        scene.crash(EndpointId::of(name));
        scene.executor(EndpointId::of(name)).incarnation = Some(Incarnation(0));
    }
    scene.wait(Span::from_secs(2));
    scene
}

/// The store repeats the old registration, and one response is lost.
fn list_again(scene: &mut Scene, id: EndpointId) {
    scene.handle(Event::Executors(["i-0", "i-1", "i-2"].map(named).to_vec()));
    scene.executor(id).process = Process::Silent;
    scene.wait(Span::from_millis(30));
    scene.executor(id).process = Process::Up;
}

#[test]
fn a_registration_of_an_earlier_incarnation_ends_no_run() {
    let mut scene = set_back();
    mislead_twice(&mut scene, list_again);
    assert_eq!(scene.starts.len(), 1, "started again beside its first run");
}

#[test]
fn a_registration_of_an_earlier_incarnation_is_no_crash() {
    let mut scene = set_back();
    mislead_twice(&mut scene, list_again);
    assert_eq!(scene.answers, []);
}

fn with_addresses() -> Scene {
    Scene::new(["i-0", "i-1", "i-2"].map(renamed).to_vec())
}

/// The executors are registered at other addresses. The response to a poll that was sent before is
/// that of the process at the former address.
fn change_addresses(scene: &mut Scene, id: EndpointId) {
    // Another address each time.
    let port = (scene.now.0 / 1_000) as u16;
    let address = ([127, 0, 0, 2], port).into();
    let moved = |name: &str| Executor { address, ..renamed(name) };
    scene.handle(Event::Executors(["i-0", "i-1", "i-2"].map(moved).to_vec()));
    scene.executor(id).process = Process::Replaced;
    scene.respond_to_polls();
    scene.executor(id).process = Process::Up;
}

#[test]
fn a_change_of_address_ends_no_run() {
    let mut scene = with_addresses();
    mislead_twice(&mut scene, change_addresses);
    assert_eq!(scene.starts.len(), 1, "started again beside its first run");
}

#[test]
fn a_change_of_address_is_no_crash() {
    let mut scene = with_addresses();
    mislead_twice(&mut scene, change_addresses);
    assert_eq!(scene.answers, []);
}

/// A new keeper of the executor `i-0`. It gets responses and messages of the former keeper, which is
/// the home of the run there, when a test delivers them.
struct NewKeeper {
    entry: Entry,
    now: Time,
    claimed: bool,
    polls: Vec<Poll>,
    stops: Vec<Run>,
    ends: Vec<End>,
    /// Number of runs that it has told their homes to have.
    moved: usize,
}

impl NewKeeper {
    fn new(executor: Executor) -> Self {
        let (me, former) = (home("entry-1"), home("entry-2"));
        let now = Time(1_000_000);
        let entry = Entry::new(me, Options::default(), now);
        let (polls, stops, ends) = (Vec::new(), Vec::new(), Vec::new());
        let mut keeper = Self { entry, now, claimed: false, polls, stops, ends, moved: 0 };
        keeper.handle(Event::Members { revision: Revision(42), members: vec![me, former] });
        keeper.handle(Event::Executors(vec![executor]));
        keeper.handle(Event::PeerUp { peer: former });
        keeper
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.entry.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Poll(poll) => self.polls.push(poll),
                Action::Stop { run, .. } => self.stops.push(run),
                Action::Send { message: Message::Claim(_), .. } => self.claimed = true,
                Action::Send { message: Message::Ended(ended), .. } => {
                    self.ends.extend(ended.iter().map(|ended| ended.end));
                }
                Action::Send { message: Message::Moved(runs), .. } => {
                    self.moved += runs.len();
                    self.receive(Message::Confirmed(runs));
                }
                _ => {}
            }
        }
    }

    fn receive(&mut self, message: Message) {
        self.handle(Event::Message { from: home("entry-2"), message });
    }

    fn tick(&mut self) {
        self.now = self.now + Span::from_millis(5);
        let report = Report { sign: sign(self.now), leaving: true, ..Report::default() };
        self.receive(Message::Report(report));
        self.handle(Event::Tick);
    }

    fn wait_for_claim(&mut self) {
        while !self.claimed {
            self.tick();
        }
    }

    fn wait_for_poll(&mut self) -> Poll {
        loop {
            match self.polls.pop() {
                Some(poll) => return poll,
                None => self.tick(),
            }
        }
    }

    fn respond(&mut self, poll: Poll, incarnation: Option<Incarnation>, ended: Vec<Ended>) {
        let clock = self.now.0 / 1_000;
        let reply = Response::Done(Listing { clock, incarnation, running: Vec::new(), ended });
        self.handle(Event::Polled { executor: poll.executor, number: poll.number, reply });
    }

    /// The former keeper transfers its run, which it may have seen running.
    fn receive_transfer(&mut self, incarnation: Option<Incarnation>) {
        let run = TransferredRun {
            run: run(),
            task: Task { job: Key { home: home("entry-2"), number: 1 }, index: 0 },
            needs: needs(),
            estimate: Span::from_millis(900),
            running_for: Span::from_millis(400),
            give_up_in: Span::from_secs(9),
        };
        self.receive(Message::Transfer(Transfer {
            executor: EndpointId::of("i-0"),
            incarnation,
            token: 41 << 24,
            acknowledged: 0,
            runs: vec![run],
        }));
    }

    /// Responds to polls with empty lists and to stops until the run has ended; returns how.
    fn end(&mut self, incarnation: Option<Incarnation>) -> End {
        for _ in 0..200 {
            for run in std::mem::take(&mut self.stops) {
                let executor = EndpointId::of("i-0");
                self.handle(Event::Stopped { executor, run, reply: Response::Done(()) });
            }
            if let Some(poll) = self.polls.pop() {
                self.respond(poll, incarnation, Vec::new());
            }
            self.tick();
        }
        *self.ends.first().expect("an end")
    }
}

fn run() -> Run {
    Run { job: "00000000000000aa".into(), index: 0, number: 1 }
}

/// The former keeper's state is that of the incarnation before the one that is registered.
#[test]
fn a_run_in_an_incarnation_before_the_handover_is_not_taken_for_not_run() {
    let incarnation = Some(Incarnation(2));
    let mut keeper = NewKeeper::new(Executor { incarnation, ..named("i-0") });
    keeper.wait_for_claim();
    keeper.receive_transfer(Some(Incarnation(1)));
    assert_ne!(keeper.end(incarnation), End::NotRun);
}

/// The response that listed the end was late, and the former keeper's state later still.
#[test]
fn a_run_whose_end_was_listed_before_the_handover_is_not_taken_for_not_run() {
    let mut keeper = NewKeeper::new(renamed("i-0"));
    let first = keeper.wait_for_poll();
    let second = keeper.wait_for_poll();
    let ended = Ended { number: 1, run: Some(run()), result: RunResult::Done };
    keeper.respond(first, None, vec![ended.clone()]);
    keeper.receive_transfer(None);
    keeper.respond(second, None, vec![ended]);
    assert_ne!(keeper.end(None), End::NotRun);
}

/// The former keeper did not run for longer than it may take to transfer an executor. It forgets
/// the runs that it transfers, so their home waits for the new keeper.
#[test]
fn the_home_hears_of_a_run_whose_transfer_was_late() {
    let mut keeper = NewKeeper::new(renamed("i-0"));
    let poll = keeper.wait_for_poll();
    keeper.respond(poll, None, Vec::new());
    keeper.receive_transfer(None);
    for _ in 0..400 {
        keeper.tick();
    }
    assert_eq!(keeper.moved + keeper.ends.len(), 1);
}

/// Two handovers follow each other, and the message of the first is later than the end of the run.
#[test]
fn a_task_whose_run_has_ended_is_not_left_to_an_earlier_keeper() {
    let now = Time(1_000_000);
    let mut entry = Entry::new(home("entry-1"), Options::default(), now);
    let mut runs = Vec::new();
    let mut handle = |now, event| {
        let mut out = Vec::new();
        entry.handle(now, event, &mut out);
        runs.extend(out.iter().filter_map(|action| match action {
            Action::Send { message: Message::Place(placement), .. } => Some(placement.tasks[0].run),
            _ => None,
        }));
    };
    let task = Task { job: Key { home: home("entry-1"), number: 1 }, index: 0 };
    let from = |keeper, message| Event::Message { from: home(keeper), message };
    let report = |now, cores| {
        Message::Report(Report {
            sign: sign(now),
            room: Room { cores, ahead: 0, speeds: Vec::new() },
            ..Report::default()
        })
    };
    for keeper in ["keeper-1", "keeper-2", "keeper-3"] {
        handle(now, Event::PeerUp { peer: home(keeper) });
    }
    handle(now, from("keeper-1", report(now, vec![1_000])));
    let job = Job { due: now + Span::from_secs(6), ..job(now) };
    handle(now, Event::Submit { waiter: WaiterId(1), job });
    let moved = || Message::Moved(vec![Moved { task, run: 1 }]);
    handle(now, from("keeper-3", moved()));
    let ended = message::Ended { task, run: 1, executor: None, end: End::Lost };
    handle(now, from("keeper-3", Message::Ended(vec![ended])));
    handle(now, from("keeper-2", moved()));
    let mut later = now;
    for _ in 0..100 {
        later = later + Span::from_millis(20);
        handle(later, Event::Tick);
        handle(later, from("keeper-3", report(later, vec![8_000])));
    }
    assert_eq!(runs, [1, 2]);
}
