//! Executors that crash and start a new incarnation under the same name, and tasks that crash their
//! executors.

mod common;

use common::fixture::{executor, home, job, needs};
use runs::{
    Action, Entry, Event, Executor, Job, Options,
    action::Poll,
    executor::{Ended, Incarnation, Listing, Response, RunResult, Service, StartResponse},
    job::{Answer, Run},
};
use site::{
    id::{EndpointId, ServiceId, WaiterId},
    unit::{Cores, Resources, Revision, Slots, Span, Time},
};
use std::collections::BTreeMap;

const TICK_INTERVAL: Span = Span::from_millis(5);

/// One simulated executor.
struct FakeExecutor {
    incarnation: Option<Incarnation>,
    started_at: Time,
    running: Vec<Run>,
    ended: Vec<Ended>,
    /// Whether it responds to anything.
    is_up: bool,
}

/// An entry and its executors, which respond to orders at once.
struct Scene {
    entry: Entry,
    now: Time,
    executors: BTreeMap<EndpointId, FakeExecutor>,
    starts: Vec<(EndpointId, Run, u64)>,
    polls: Vec<Poll>,
    answers: Vec<Answer>,
    jobs: u64,
}

impl Scene {
    fn new(executors: Vec<Executor>) -> Self {
        let me = home("entry-1");
        let now = Time(1_000_000);
        let mut scene = Scene {
            entry: Entry::new(me, Options::default(), now),
            now,
            executors: executors
                .iter()
                .map(|e| (e.id, FakeExecutor::new(e.incarnation, now)))
                .collect(),
            starts: Vec::new(),
            polls: Vec::new(),
            answers: Vec::new(),
            jobs: 0,
        };
        scene.handle(Event::Members { revision: Revision(41), members: vec![me] });
        scene.handle(Event::Executors(executors));
        scene.wait(Span::from_millis(300));
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
                self.starts.push((start.executor, start.run.clone(), start.deadline));
                let fake = self.executors.get_mut(&start.executor)?;
                let reply = match fake.is_up {
                    true => {
                        fake.running.push(start.run.clone());
                        StartResponse::Running { clock: fake.clock(self.now) }
                    }
                    false => StartResponse::Unknown,
                };
                Some(Event::Started { executor: start.executor, run: start.run, reply })
            }
            Action::Poll(poll) => {
                self.polls.push(poll);
                None
            }
            Action::Answer { answer, .. } => {
                self.answers.push(answer);
                None
            }
            Action::Stop { executor, run, .. } => {
                Some(Event::Stopped { executor, run, reply: Response::Done(()) })
            }
            _ => None,
        }
    }

    /// Responds to the outstanding polls.
    fn respond_to_polls(&mut self) {
        for poll in std::mem::take(&mut self.polls) {
            let fake = &self.executors[&poll.executor];
            let reply = match fake.is_up {
                true => Response::Done(fake.listing(self.now, poll.acknowledged)),
                false => Response::Silent,
            };
            self.handle(Event::Polled { executor: poll.executor, number: poll.number, reply });
        }
    }

    fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            self.handle(Event::Tick);
            self.respond_to_polls();
        }
    }

    /// Submits a job of one task of about a second, with a deadline far in the future.
    fn submit(&mut self) {
        self.jobs += 1;
        let job = Job {
            name: format!("{:016x}", self.jobs).into(),
            due: self.now + Span::from_secs(20),
            give_up: self.now + Span::from_secs(30),
            ..job(self.now)
        };
        self.handle(Event::Submit { waiter: WaiterId(self.jobs), job });
    }

    fn executor(&mut self, id: EndpointId) -> &mut FakeExecutor {
        self.executors.get_mut(&id).expect("an executor of the test")
    }

    /// The executor of the latest start.
    fn latest(&self) -> EndpointId {
        self.starts.last().expect("a start").0
    }

    /// The executor crashes and is back at once, in a later incarnation.
    fn crash(&mut self, id: EndpointId) {
        let now = self.now;
        let fake = self.executor(id);
        let incarnation = fake.incarnation.map(|incarnation| Incarnation(incarnation.0 + 1));
        *fake = FakeExecutor::new(incarnation, now);
    }
}

impl FakeExecutor {
    fn new(incarnation: Option<Incarnation>, started_at: Time) -> Self {
        Self { incarnation, started_at, running: Vec::new(), ended: Vec::new(), is_up: true }
    }

    fn clock(&self, now: Time) -> u64 {
        now.since(self.started_at).0 / 1_000
    }

    fn listing(&self, now: Time, acknowledged: u64) -> Listing {
        let ended = self.ended.iter().filter(|ended| ended.number > acknowledged);
        Listing {
            clock: self.clock(now),
            incarnation: self.incarnation,
            running: self.running.clone(),
            ended: ended.cloned().collect(),
        }
    }

    fn end_all(&mut self) {
        for run in std::mem::take(&mut self.running) {
            let number = self.ended.len() as u64 + 1;
            self.ended.push(Ended { number, run: Some(run), result: RunResult::Done });
        }
    }
}

fn named(name: &str) -> Executor {
    Executor {
        id: EndpointId::of(name),
        name: name.into(),
        incarnation: Some(Incarnation(1)),
        ..executor()
    }
}

fn service(guards_capacity: bool) -> Event {
    let service = Service { id: ServiceId::of("service"), guards_capacity };
    Event::Configured { version: 1, services: vec![service] }
}

#[test]
fn ends_of_a_new_incarnation_count_although_their_numbers_restart() {
    let mut scene = Scene::new(vec![named("i-1")]);
    for _ in 0..3 {
        scene.submit();
        scene.wait(Span::from_millis(50));
        scene.executor(EndpointId::of("i-1")).end_all();
        scene.wait(Span::from_millis(600));
    }
    assert_eq!(scene.answers, [Answer::Completed; 3]);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(50));
    scene.executor(EndpointId::of("i-1")).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed; 4]);
}

/// The wall clock of the machine was set back while the executor was down.
#[test]
fn a_later_incarnation_may_have_an_earlier_start_time() {
    let mut scene = Scene::new(vec![named("i-1")]);
    let id = EndpointId::of("i-1");
    scene.crash(id);
    scene.executor(id).incarnation = Some(Incarnation(0));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(50));
    scene.executor(id).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed]);
}

/// The store lists a new incarnation that is stopping already.
#[test]
fn a_new_incarnation_that_is_leaving_gets_no_task() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    let restarted = Executor { incarnation: Some(Incarnation(2)), leaving: true, ..named("i-1") };
    scene.handle(Event::Executors(vec![restarted]));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(300));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
}

#[test]
fn the_task_of_a_run_in_an_earlier_incarnation_runs_elsewhere() {
    let mut scene = Scene::new(vec![named("i-1"), named("i-2")]);
    scene.submit();
    let first = scene.latest();
    scene.wait(Span::from_millis(100));
    scene.crash(first);
    scene.wait(Span::from_millis(200));
    assert_eq!(scene.starts.len(), 2);
    assert_ne!(scene.latest(), first);
}

/// The store lists the new incarnation before the executor responds.
#[test]
fn a_newly_registered_incarnation_is_polled_before_the_next_start() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    let restarted = Executor { incarnation: Some(Incarnation(2)), ..named("i-1") };
    scene.handle(Event::Executors(vec![restarted]));
    scene.submit();
    assert!(scene.starts.is_empty(), "its clock is not known yet");
    scene.respond_to_polls();
    scene.wait(Span::from_millis(10));
    let clock = scene.executors[&EndpointId::of("i-1")].clock(scene.now);
    let lease = Options::default().lease.as_millis();
    assert!(scene.starts[0].2 <= clock + lease, "{:?} at {clock}", scene.starts);
}

/// The response to a poll that timed out arrives after one of the new incarnation.
#[test]
fn the_listing_of_an_earlier_incarnation_is_ignored() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(20));
    let (executor, run, _) = scene.starts[0].clone();
    scene.now = scene.now + TICK_INTERVAL;
    scene.handle(Event::Tick);
    let ended = vec![Ended { number: 9, run: Some(run), result: RunResult::Stopped }];
    let old =
        Listing { clock: 90_000, incarnation: Some(Incarnation(1)), running: Vec::new(), ended };
    scene.handle(Event::Polled { executor, number: 1, reply: Response::Done(old) });
    scene.wait(Span::from_millis(100));
    scene.executor(executor).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed]);
    assert_eq!(scene.starts.len(), 1);
}

#[test]
fn a_task_under_which_two_executors_crashed_is_given_up() {
    let mut scene = Scene::new(vec![named("i-1"), named("i-2"), named("i-3"), named("i-4")]);
    scene.submit();
    for _ in 0..4 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        if !scene.executors[&latest].running.is_empty() {
            scene.crash(latest);
        }
        scene.wait(Span::from_millis(200));
    }
    assert_eq!(scene.starts.len(), 2);
    assert_eq!(scene.answers, [Answer::Failed]);
}

/// The same where crashed executors are detected only because they are unresponsive.
#[test]
fn a_task_that_makes_its_executors_unresponsive_is_given_up() {
    let plain = |name| Executor { incarnation: None, ..named(name) };
    let mut scene = Scene::new(vec![plain("i-1"), plain("i-2"), plain("i-3")]);
    scene.submit();
    for _ in 0..3 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        scene.executor(latest).is_up = false;
        scene.wait(Span::from_secs(2));
    }
    assert_eq!(scene.starts.len(), 2);
    assert_eq!(scene.answers, [Answer::Failed]);
}

#[test]
fn the_clock_of_an_idle_executor_is_never_old_when_a_task_starts() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.wait(Span::from_secs(5));
    // Nothing notifies the entry of the new incarnation.
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    let clock = scene.executors[&EndpointId::of("i-1")].clock(scene.now);
    let lease = Options::default().lease.as_millis();
    assert!(scene.starts[0].2 <= clock + lease, "{:?} at {clock}", scene.starts);
}

#[test]
fn a_crashed_idle_executor_gets_no_task_until_it_answers_again() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.executor(EndpointId::of("i-1")).is_up = false;
    scene.wait(Span::from_secs(2));
    scene.submit();
    scene.wait(Span::from_millis(100));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(2));
    assert_eq!(scene.starts.len(), 1);
}

/// A run of a former keeper occupies an unknown part of the capacity.
#[test]
fn executors_that_do_not_enforce_capacity_get_no_task_beside_an_unknown_run() {
    for guards in [true, false] {
        let mut scene = Scene::new(vec![named("i-1")]);
        scene.handle(service(guards));
        let unknown = Run { job: "00000000000000ff".into(), index: 0, number: 1 };
        scene.executor(EndpointId::of("i-1")).running.push(unknown);
        scene.wait(Span::from_millis(800));
        scene.submit();
        scene.wait(Span::from_millis(50));
        assert_eq!(scene.starts.len(), usize::from(guards), "guards: {guards}");
        scene.executor(EndpointId::of("i-1")).running.retain(|run| run.job != "00000000000000ff");
        scene.wait(Span::from_millis(500));
        assert_eq!(scene.starts.len(), 1);
    }
}

#[test]
fn changes_of_capacity_are_respected() {
    let mut scene = Scene::new(vec![named("i-1")]);
    let sized = |cores| {
        let capacity = Resources { slots: Slots(8), cores: Cores(cores), ..Resources::default() };
        Event::Executors(vec![Executor { capacity, ..named("i-1") }])
    };
    let cores = needs().cores.0;
    scene.handle(sized(2 * cores));
    (0..3).for_each(|_| scene.submit());
    assert_eq!(scene.starts.len(), 2);
    scene.handle(sized(cores));
    scene.wait(Span::from_millis(100));
    scene.executor(EndpointId::of("i-1")).running.truncate(1);
    scene.wait(Span::from_millis(100));
    assert_eq!(scene.starts.len(), 2, "the one that is left fills it");
    scene.handle(sized(4 * cores));
    scene.wait(Span::from_millis(100));
    assert_eq!(scene.starts.len(), 3, "the job that waited");
}
