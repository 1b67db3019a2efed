//! Runs whose executor gets another keeper: who extends its lease, and who hears of them.

mod common;

use common::fixture::{executor, home, job, needs, sign};
use runs::{
    Action, Entry, Event, Job, Message, Options,
    action::{Poll, Start},
    executor::{Listing, Response, StartResponse},
    job::{Key, Run, Task},
    message::{End, Ended, Moved, Report, Transfer, TransferredRun},
};
use site::{
    id::{Home, WaiterId},
    unit::{Revision, Span, Time},
};

/// The executor's clock when a scene begins, in milliseconds.
const CLOCK: u64 = 500_000;

/// An entry, the keeper that transfers an executor to it, and the home of the run there.
struct Scene {
    entry: Entry,
    now: Time,
    former: Home,
    home: Home,
    is_home_connected: bool,
    running: Vec<Run>,
    polls: Vec<Poll>,
    starts: Vec<Start>,
    stops: Vec<Run>,
    sent: Vec<(Home, Message)>,
}

impl Scene {
    /// A scene in which the entry has just been transferred the executor.
    fn new(is_home_connected: bool) -> Self {
        let mut scene = Self::idle(is_home_connected);
        scene.handle(Event::Executors(vec![executor()]));
        scene.wait_until(|scene| scene.sent.iter().any(|(_, sent)| is_claim(sent)));
        scene.running = vec![run()];
        let transfer = scene.transfer();
        scene.receive(scene.former, Message::Transfer(transfer));
        scene
    }

    /// A scene in which the entry has not been told of the executor yet.
    fn idle(is_home_connected: bool) -> Self {
        let (me, former, home) = (home("entry-1"), home("entry-2"), home("entry-3"));
        let now = Time(1_000_000);
        let mut scene = Self {
            entry: Entry::new(me, Options::default(), now),
            now,
            former,
            home,
            is_home_connected: false,
            running: Vec::new(),
            polls: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            sent: Vec::new(),
        };
        scene.handle(Event::Members { revision: Revision(42), members: vec![me, former] });
        scene.handle(Event::PeerUp { peer: former });
        if is_home_connected {
            scene.connect_home();
        }
        scene.wait(20);
        scene.sent.clear();
        scene
    }

    fn connect_home(&mut self) {
        self.is_home_connected = true;
        self.handle(Event::PeerUp { peer: self.home });
    }

    fn task(&self) -> Task {
        Task { job: Key { home: self.home, number: 1 }, index: 0 }
    }

    fn moved(&self) -> Vec<Moved> {
        vec![Moved { task: self.task(), run: 1 }]
    }

    fn transfer(&self) -> Transfer {
        let run = TransferredRun {
            run: run(),
            task: self.task(),
            needs: needs(),
            estimate: Span::from_millis(900),
            running_for: Span::from_millis(100),
            give_up_in: Span::from_secs(8),
        };
        Transfer {
            executor: executor().id,
            incarnation: None,
            token: 7,
            acknowledged: 0,
            runs: vec![run],
        }
    }

    fn clock(&self) -> u64 {
        CLOCK + self.now.0 / 1_000
    }

    fn receive(&mut self, from: Home, message: Message) {
        self.handle(Event::Message { from, message });
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.entry.handle(self.now, event, &mut out);
            events.extend(out.into_iter().filter_map(|action| self.carry_out(action)));
        }
    }

    /// Carries out starts and stops at once; polls get their response in the next step.
    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Poll(poll) => self.polls.push(poll),
            Action::Send { to, message } => self.sent.push((to, message)),
            Action::Start(start) => {
                self.starts.push(start.clone());
                self.running.push(start.run.clone());
                let reply = StartResponse::Running { clock: self.clock() };
                return Some(Event::Started { executor: start.executor, run: start.run, reply });
            }
            Action::Stop { executor, run, .. } => {
                self.running.retain(|other| *other != run);
                self.stops.push(run.clone());
                return Some(Event::Stopped { executor, run, reply: Response::Done(()) });
            }
            _ => {}
        }
        None
    }

    /// Lets time pass while peers report and the executor responds to polls. Returns the deadlines
    /// of the polls.
    fn wait(&mut self, ms: u64) -> Vec<u64> {
        let mut deadlines = Vec::new();
        for _ in 0..ms / 5 {
            self.now = self.now + Span::from_millis(5);
            let report = Report { sign: sign(self.now), leaving: true, ..Report::default() };
            self.receive(self.former, Message::Report(report.clone()));
            if self.is_home_connected {
                self.receive(self.home, Message::Report(report));
            }
            self.handle(Event::Tick);
            for Poll { executor, number, deadline, .. } in std::mem::take(&mut self.polls) {
                deadlines.extend(deadline);
                let running = self.running.clone();
                let listing = Listing { clock: self.clock(), running, ..Listing::default() };
                self.handle(Event::Polled { executor, number, reply: Response::Done(listing) });
            }
        }
        deadlines
    }

    fn wait_until(&mut self, is_over: impl Fn(&Self) -> bool) {
        for _ in 0..100 {
            if is_over(self) {
                return;
            }
            self.wait(5);
        }
        panic!("not within half a second: {:?}", self.sent);
    }

    /// The messages that matched, and their receivers.
    fn sent<T>(&self, matches: impl Fn(&Message) -> Option<T>) -> Vec<(Home, T)> {
        let sent = self.sent.iter();
        sent.filter_map(|(to, message)| Some((*to, matches(message)?))).collect()
    }

    fn announced(&self) -> Vec<(Home, Vec<Moved>)> {
        self.sent(|message| match message {
            Message::Moved(moved) => Some(moved.clone()),
            _ => None,
        })
    }

    fn returned(&self) -> Vec<(Home, Vec<Ended>)> {
        self.sent(|message| match message {
            Message::Returned(ended) => Some(ended.clone()),
            _ => None,
        })
    }

    /// That the run may still be there, as told about `executor`.
    fn unsure(&self, executor: Option<site::id::EndpointId>) -> Vec<Ended> {
        vec![Ended { task: self.task(), run: 1, executor, end: End::Unsure }]
    }
}

fn run() -> Run {
    Run { job: job(Time(0)).name, index: 0, number: 1 }
}

fn is_claim(message: &Message) -> bool {
    matches!(message, Message::Claim(_))
}

/// Guards against a run that goes on at a keeper unknown to its home, which starts the task again
/// once it has lost the former keeper.
#[test]
fn a_run_whose_home_can_not_be_told_ends_with_the_lease_of_its_former_keeper() {
    let mut scene = Scene::new(false);
    assert_eq!(scene.wait(240), [], "the lease was extended");
    assert_eq!(scene.stops, []);
    scene.wait(30);
    assert_eq!(scene.stops, [run()]);
    assert_eq!(scene.announced(), []);
    assert_eq!(scene.returned(), [(scene.former, scene.unsure(None))]);
}

/// The same where the home is connected and says nothing.
#[test]
fn a_run_that_its_home_does_not_confirm_ends_with_the_lease_of_its_former_keeper() {
    let mut scene = Scene::new(true);
    assert_eq!(scene.announced(), [(scene.home, scene.moved())]);
    assert_eq!(scene.wait(240), [], "the lease was extended");
    scene.wait(30);
    assert_eq!(scene.stops, [run()]);
}

/// Guards against work that is lost since a home was not connected at the moment of the transfer: after
/// a restart the connections come up one after the other.
#[test]
fn a_home_that_connects_after_a_transfer_is_told_and_keeps_its_run() {
    let mut scene = Scene::new(false);
    scene.wait(150);
    scene.connect_home();
    assert_eq!(scene.announced(), [(scene.home, scene.moved())]);
    let moved = scene.moved();
    scene.receive(scene.home, Message::Alive(sign(scene.now)));
    scene.receive(scene.home, Message::Confirmed(moved));
    let deadlines = scene.wait(400);
    assert!(!deadlines.is_empty(), "the lease was not extended");
    assert_eq!(scene.stops, []);
}

/// Guards against a confirmation that is handled late: its home may be gone.
#[test]
fn a_confirmation_without_a_recent_sign_of_its_home_keeps_no_run() {
    let mut scene = Scene::new(false);
    scene.connect_home();
    let moved = scene.moved();
    scene.receive(scene.home, Message::Confirmed(moved));
    assert_eq!(scene.wait(240), [], "the lease was extended");
    scene.wait(30);
    assert_eq!(scene.stops, [run()]);
}

/// Guards against a start that extends the lease of a run which its home has not confirmed.
#[test]
fn nothing_starts_beside_a_transferred_run_before_its_home_has_confirmed_it() {
    let mut scene = Scene::new(true);
    scene.wait(10);
    let job = Job { name: "00000000000000bb".into(), ..job(scene.now) };
    scene.handle(Event::Submit { waiter: WaiterId(1), job });
    scene.wait(20);
    assert_eq!(scene.starts.len(), 0);
    let moved = scene.moved();
    scene.receive(scene.home, Message::Confirmed(moved));
    scene.wait(20);
    assert_eq!(scene.starts.len(), 1);
}

/// Guards against a home that waits for a run of which nobody knows: the new keeper no longer wants
/// the executor when its state arrives.
#[test]
fn a_transfer_that_is_not_expected_is_returned() {
    let mut scene = Scene::idle(true);
    let transfer = scene.transfer();
    scene.receive(scene.former, Message::Transfer(transfer));
    assert_eq!(scene.announced(), []);
    assert_eq!(scene.returned(), [(scene.former, scene.unsure(Some(executor().id)))]);
}

/// A scene in which the entry has transferred the executor on to a third one.
fn after_the_next_transfer() -> (Scene, Home) {
    let mut scene = Scene::new(true);
    let moved = scene.moved();
    scene.receive(scene.home, Message::Confirmed(moved));
    scene.wait(50);
    let next = home("entry-4");
    scene.handle(Event::PeerUp { peer: next });
    scene.receive(next, Message::Claim(vec![executor().id]));
    let transferred = scene.sent(|message| match message {
        Message::Transfer(transfer) => Some(transfer.runs.len()),
        _ => None,
    });
    assert_eq!(transferred, [(next, 1)]);
    scene.sent.clear();
    (scene, next)
}

/// Guards against a cancellation that is lost since its home does not know the new keeper yet.
#[test]
fn a_former_keeper_passes_on_cancellations() {
    let (mut scene, next) = after_the_next_transfer();
    let tasks = vec![scene.task()];
    scene.receive(scene.home, Message::Cancel(tasks.clone()));
    let cancelled = scene.sent(|message| match message {
        Message::Cancel(tasks) => Some(tasks.clone()),
        _ => None,
    });
    assert_eq!(cancelled, [(next, tasks)]);
}

/// Guards against a home that waits for a run which the new keeper could not tell it of.
#[test]
fn a_former_keeper_tells_the_home_of_a_run_that_the_new_one_gave_up() {
    let (mut scene, next) = after_the_next_transfer();
    let unsure = scene.unsure(None);
    scene.receive(next, Message::Returned(unsure.clone()));
    let ended = scene.sent(|message| match message {
        Message::Ended(ended) => Some(ended.clone()),
        _ => None,
    });
    assert_eq!(ended, [(scene.home, unsure)]);
}

/// Guards against a home that waits for a run whose new keeper died before it could tell it.
#[test]
fn a_former_keeper_tells_the_home_of_a_run_whose_new_keeper_is_lost() {
    let (mut scene, next) = after_the_next_transfer();
    scene.handle(Event::PeerDown { peer: next });
    scene.wait(500);
    let ended = scene.sent(|message| match message {
        Message::Ended(ended) => Some(ended.clone()),
        _ => None,
    });
    assert_eq!(ended, [(scene.home, scene.unsure(None))]);
}
