//! Forwarded runs whose executors get another keeper.

mod common;

use common::fixture::{executor, home, job, needs, sign};
use runs::{
    Action, Entry, Event, Message, Options,
    action::Poll,
    executor::{Listing, Response, StartResponse},
    job::{Key, Run, Stretch, Task},
    message::{End, Ended, Forward, PlacedTask, Placement, Report, Room, Transfer, TransferredRun},
};
use site::{
    id::Home,
    unit::{Revision, Span, Time},
};

const CLOCK: u64 = 500_000;

/// A keeper, a second one, and the home of a task.
struct Scene {
    entry: Entry,
    now: Time,
    other: Home,
    home: Home,
    /// The run that the executor lists.
    running: Vec<Run>,
    /// Whether the other keeper is connected.
    is_connected: bool,
    /// Whether the home is heard from.
    is_home_heard: bool,
    /// Whether the other keeper is leaving, so that its executors come to this entry.
    is_leaving: bool,
    out: Vec<Action>,
}

impl Scene {
    fn new() -> Self {
        let (me, other, home) = (home("entry-1"), home("entry-2"), home("entry-3"));
        let now = Time(1_000_000);
        let entry = Entry::new(me, Options::default(), now);
        let (running, out) = (Vec::new(), Vec::new());
        let mut scene = Self {
            entry,
            now,
            other,
            home,
            running,
            is_connected: true,
            is_home_heard: true,
            is_leaving: false,
            out,
        };
        scene.handle(Event::Members { revision: Revision(42), members: vec![me, other] });
        scene.handle(Event::PeerUp { peer: other });
        scene.handle(Event::PeerUp { peer: home });
        scene.wait(20);
        scene
    }

    fn task(&self) -> Task {
        Task { job: Key { home: self.home, number: 1 }, index: 0 }
    }

    fn run(&self) -> Run {
        Run { job: job(self.now).name, index: 0, number: 1 }
    }

    fn placement(&self) -> Placement {
        let job = job(self.now);
        Placement {
            sent: self.now,
            job: self.task().job,
            name: job.name.clone(),
            spec: job.spec.clone(),
            needs: needs(),
            label: None,
            per_executor: None,
            estimate: job.estimate,
            service: job.service,
            begun: false,
            due_in: job.due.since(self.now),
            give_up_in: job.give_up.since(self.now),
            tasks: vec![PlacedTask { index: 0, run: 1, avoid: Vec::new() }],
            stretch: Stretch::default(),
        }
    }

    fn handle(&mut self, event: Event) {
        self.entry.handle(self.now, event, &mut self.out);
    }

    fn receive(&mut self, from: Home, message: Message) {
        self.handle(Event::Message { from, message });
    }

    /// Lets time pass while peers report and the executor lists its runs; keeps the messages.
    fn wait(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.now = self.now + Span::from_millis(5);
            if self.is_home_heard {
                let report = Report { sign: sign(self.now), leaving: true, ..Report::default() };
                self.receive(self.home, Message::Report(report));
            }
            if self.is_connected {
                let cores = if self.is_leaving { Vec::new() } else { vec![64_000] };
                let room = Room { cores, ..Room::default() };
                let (sent, leaving) = (self.now, self.is_leaving);
                let capacity = u32::from(!leaving) * 64;
                let report =
                    Report { sign: sign(sent), room, capacity, leaving, ..Report::default() };
                self.receive(self.other, Message::Report(report));
            }
            self.handle(Event::Tick);
            self.answer_orders();
        }
    }

    fn answer_orders(&mut self) {
        let orders: Vec<_> = self.out.extract_if(.., |action| is_order(action)).collect();
        for order in orders {
            match order {
                Action::Poll(Poll { executor, number, .. }) => {
                    let running = self.running.clone();
                    let listing = Listing { clock: self.clock(), running, ..Listing::default() };
                    let reply = Response::Done(listing);
                    self.handle(Event::Polled { executor, number, reply });
                }
                Action::Start(start) => {
                    self.running.push(start.run.clone());
                    let reply = StartResponse::Running { clock: self.clock() };
                    let (executor, run) = (start.executor, start.run);
                    self.handle(Event::Started { executor, run, reply });
                }
                _ => {}
            }
        }
    }

    fn clock(&self) -> u64 {
        CLOCK + self.now.0 / 1_000
    }

    fn sent_to(&self, peer: Home) -> Vec<&Message> {
        let sent = self.out.iter().filter_map(|action| match action {
            Action::Send { to, message } if *to == peer => Some(message),
            _ => None,
        });
        sent.collect()
    }

    /// The ends of the run that the entry reported to its home.
    fn ends(&self) -> Vec<End> {
        let ended = self.sent_to(self.home).into_iter().filter_map(|message| match message {
            Message::Ended(ended) => Some(ended.iter().map(|ended: &Ended| ended.end)),
            _ => None,
        });
        ended.flatten().collect()
    }
}

fn is_order(action: &Action) -> bool {
    matches!(action, Action::Poll(_) | Action::Start(_))
}

/// Guards against a second start beside a run that comes back to the keeper which forwarded its
/// task: the loss of the keeper in between must not count as the loss of the run.
#[test]
fn a_run_that_returns_with_its_executor_is_not_reported_as_lost() {
    let mut scene = Scene::new();
    let placement = scene.placement();
    scene.receive(scene.home, Message::Place(placement));
    scene.wait(20);
    let is_forward = |message: &&Message| matches!(message, Message::Forward(_));
    assert_eq!(scene.sent_to(scene.other).into_iter().filter(is_forward).count(), 1);
    scene.is_leaving = true;
    scene.running = vec![scene.run()];
    scene.handle(Event::Executors(vec![executor()]));
    let is_claim = |message: &&Message| matches!(message, Message::Claim(_));
    for _ in 0..100 {
        if scene.sent_to(scene.other).iter().any(is_claim) {
            break;
        }
        scene.wait(5);
    }
    let run = TransferredRun {
        run: scene.run(),
        task: scene.task(),
        needs: needs(),
        estimate: Span::from_millis(900),
        running_for: Span::from_millis(100),
        give_up_in: Span::from_secs(8),
    };
    let transfer = Transfer {
        executor: executor().id,
        incarnation: None,
        token: 7,
        acknowledged: 0,
        runs: vec![run],
    };
    scene.receive(scene.other, Message::Transfer(transfer));
    scene.answer_orders();
    scene.wait(100);
    scene.is_connected = false;
    let peer = scene.other;
    scene.handle(Event::PeerDown { peer });
    scene.wait(1_500);
    assert_eq!(scene.ends(), []);
}

/// Guards against a run that two keepers announce to its home in either order: `Moved` of the next
/// keeper may arrive before `Taken` of this one.
#[test]
fn an_unconfirmed_run_is_not_handed_over() {
    let mut scene = Scene::new();
    scene.is_leaving = true;
    scene.handle(Event::Executors(vec![executor()]));
    scene.wait(1_000);
    scene.out.clear();
    let placement = scene.placement();
    let forward = Forward { placement, elapsed: Span::ZERO, visited: Vec::new() };
    scene.receive(scene.other, Message::Forward(forward));
    scene.answer_orders();
    assert_eq!(scene.running, [scene.run()]);
    let third = home("entry-4");
    scene.handle(Event::PeerUp { peer: third });
    scene.receive(third, Message::Claim(vec![executor().id]));
    let transferred = scene.sent_to(third).into_iter().find_map(|message| match message {
        Message::Transfer(transfer) => Some(transfer.runs.len()),
        _ => None,
    });
    assert_eq!(transferred, Some(0));
    scene.wait(5);
    assert_eq!(scene.ends(), [End::Unsure]);
    let returned = scene.sent_to(scene.other).into_iter().find_map(|message| match message {
        Message::Returned(ended) => Some(ended.clone()),
        _ => None,
    });
    assert_eq!(returned.map(|ended| ended[0].end), Some(End::Unsure));
}

/// Guards against a task that is given up since its home, which may report every 0.7 s to entries that
/// it does not know as keepers, has just not confirmed it yet.
#[test]
fn silence_of_a_home_ends_no_task_that_it_has_not_confirmed() {
    let mut scene = Scene::new();
    scene.is_leaving = true;
    scene.handle(Event::Executors(vec![executor()]));
    scene.wait(1_000);
    scene.is_home_heard = false;
    scene.wait(490);
    scene.out.clear();
    let placement = scene.placement();
    let forward = Forward { placement, elapsed: Span::ZERO, visited: Vec::new() };
    scene.receive(scene.other, Message::Forward(forward));
    scene.wait(100);
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert_eq!(scene.running, [scene.run()]);
    assert!(!scene.out.iter().any(is_stop), "stopped before the time for its confirmation is over");
    scene.wait(200);
    assert!(scene.out.iter().any(is_stop), "its home never confirmed it");
}

/// Guards against longer waits where forwarding is no way out: a task that may not be forwarded again
/// goes back as early as without forwarding.
#[test]
fn a_task_that_may_not_be_forwarded_is_not_held_longer() {
    let mut scene = Scene::new();
    scene.out.clear();
    let placement = scene.placement();
    let visited = vec![home("entry-8"), home("entry-9")];
    let forward = Forward { placement, elapsed: Span::ZERO, visited };
    scene.receive(scene.other, Message::Forward(forward));
    scene.wait(10);
    assert_eq!(scene.ends(), []);
    scene.wait(5);
    assert_eq!(scene.ends(), [End::NotRun]);
}
