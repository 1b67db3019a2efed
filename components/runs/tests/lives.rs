//! Executors that crash and come back under the name that they had, and tasks that crash them.

mod common;

use common::fixture::{executor, home, job, needs};
use runs::{
    Action, Entry, Event, Executor, Job, Options,
    action::Look,
    executor::{Answered, Birth, Ended, How, Lists, Service, Started},
    job::{Answer, Run},
};
use site::{
    id::{EndpointId, ServiceId, WaiterId},
    unit::{Cores, Resources, Revision, Slots, Span, Time},
};
use std::collections::BTreeMap;

const STEP: Span = Span::from_millis(5);

/// One executor as the test has it.
struct Life {
    born: Option<Birth>,
    begun: Time,
    running: Vec<Run>,
    ended: Vec<Ended>,
    /// Whether it answers anything.
    is_up: bool,
}

/// An entry and its executors, which answer at once.
struct Scene {
    entry: Entry,
    now: Time,
    lives: BTreeMap<EndpointId, Life>,
    starts: Vec<(EndpointId, Run, u64)>,
    looks: Vec<Look>,
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
            lives: executors.iter().map(|e| (e.id, Life::new(e.born, now))).collect(),
            starts: Vec::new(),
            looks: Vec::new(),
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
                let life = self.lives.get_mut(&start.executor)?;
                let reply = match life.is_up {
                    true => {
                        life.running.push(start.run.clone());
                        Started::Running { clock: life.clock(self.now) }
                    }
                    false => Started::Unknown,
                };
                Some(Event::Started { executor: start.executor, run: start.run, reply })
            }
            Action::Look(look) => {
                self.looks.push(look);
                None
            }
            Action::Answer { answer, .. } => {
                self.answers.push(answer);
                None
            }
            Action::Stop { executor, run, .. } => {
                Some(Event::Stopped { executor, run, reply: Answered::Done(()) })
            }
            _ => None,
        }
    }

    /// Answers the looks that are on their way.
    fn answer_looks(&mut self) {
        for look in std::mem::take(&mut self.looks) {
            let life = &self.lives[&look.executor];
            let reply = match life.is_up {
                true => Answered::Done(life.lists(self.now, look.acknowledged)),
                false => Answered::Silent,
            };
            self.handle(Event::Looked { executor: look.executor, number: look.number, reply });
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

    /// Hands in a job of one task of a second, which any time suffices for.
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

    fn life(&mut self, id: EndpointId) -> &mut Life {
        self.lives.get_mut(&id).expect("an executor of the test")
    }

    /// Where the latest start went.
    fn latest(&self) -> EndpointId {
        self.starts.last().expect("a start").0
    }

    /// The executor crashes and is back at once, in a later life.
    fn crash(&mut self, id: EndpointId) {
        let now = self.now;
        let life = self.life(id);
        let born = life.born.map(|born| Birth(born.0 + 1));
        *life = Life::new(born, now);
    }
}

impl Life {
    fn new(born: Option<Birth>, begun: Time) -> Self {
        Self { born, begun, running: Vec::new(), ended: Vec::new(), is_up: true }
    }

    fn clock(&self, now: Time) -> u64 {
        now.since(self.begun).0 / 1_000
    }

    fn lists(&self, now: Time, acknowledged: u64) -> Lists {
        let ended = self.ended.iter().filter(|ended| ended.number > acknowledged);
        Lists {
            clock: self.clock(now),
            born: self.born,
            running: self.running.clone(),
            ended: ended.cloned().collect(),
        }
    }

    fn end_all(&mut self) {
        for run in std::mem::take(&mut self.running) {
            let number = self.ended.len() as u64 + 1;
            self.ended.push(Ended { number, run: Some(run), how: How::Done });
        }
    }
}

fn named(name: &str) -> Executor {
    Executor { id: EndpointId::of(name), name: name.into(), born: Some(Birth(1)), ..executor() }
}

fn service(guards_capacity: bool) -> Event {
    let service = Service { id: ServiceId::of("service"), guards_capacity };
    Event::Configured { version: 1, services: vec![service] }
}

#[test]
fn ends_of_a_new_life_count_though_their_numbers_start_anew() {
    let mut scene = Scene::new(vec![named("i-1")]);
    for _ in 0..3 {
        scene.submit();
        scene.wait(Span::from_millis(50));
        scene.life(EndpointId::of("i-1")).end_all();
        scene.wait(Span::from_millis(600));
    }
    assert_eq!(scene.answers, [Answer::Completed; 3]);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(50));
    scene.life(EndpointId::of("i-1")).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed; 4]);
}

/// The machine's time of day was set back while the executor was down.
#[test]
fn a_later_life_may_have_an_earlier_birth() {
    let mut scene = Scene::new(vec![named("i-1")]);
    let id = EndpointId::of("i-1");
    scene.crash(id);
    scene.life(id).born = Some(Birth(0));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(50));
    scene.life(id).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed]);
}

/// The store tells of a new life that is leaving already.
#[test]
fn a_new_life_that_is_leaving_gets_no_task() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    let reborn = Executor { born: Some(Birth(2)), leaving: true, ..named("i-1") };
    scene.handle(Event::Executors(vec![reborn]));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(300));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
}

#[test]
fn a_run_of_an_earlier_life_goes_on_elsewhere() {
    let mut scene = Scene::new(vec![named("i-1"), named("i-2")]);
    scene.submit();
    let first = scene.latest();
    scene.wait(Span::from_millis(100));
    scene.crash(first);
    scene.wait(Span::from_millis(200));
    assert_eq!(scene.starts.len(), 2);
    assert_ne!(scene.latest(), first);
}

/// The store tells of the new life before the executor does.
#[test]
fn a_registration_of_a_new_life_is_looked_at_before_the_next_start() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    let reborn = Executor { born: Some(Birth(2)), ..named("i-1") };
    scene.handle(Event::Executors(vec![reborn]));
    scene.submit();
    assert!(scene.starts.is_empty(), "its clock is not known yet");
    scene.answer_looks();
    scene.wait(Span::from_millis(10));
    let clock = scene.lives[&EndpointId::of("i-1")].clock(scene.now);
    let lease = Options::default().lease.as_millis();
    assert!(scene.starts[0].2 <= clock + lease, "{:?} at {clock}", scene.starts);
}

/// The answer to a look that was given up arrives after one of the new life.
#[test]
fn lists_of_an_earlier_life_change_nothing() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(20));
    let (executor, run, _) = scene.starts[0].clone();
    scene.now = scene.now + STEP;
    scene.handle(Event::Tick);
    let ended = vec![Ended { number: 9, run: Some(run), how: How::Stopped }];
    let old = Lists { clock: 90_000, born: Some(Birth(1)), running: Vec::new(), ended };
    scene.handle(Event::Looked { executor, number: 1, reply: Answered::Done(old) });
    scene.wait(Span::from_millis(100));
    scene.life(executor).end_all();
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
        if !scene.lives[&latest].running.is_empty() {
            scene.crash(latest);
        }
        scene.wait(Span::from_millis(200));
    }
    assert_eq!(scene.starts.len(), 2);
    assert_eq!(scene.answers, [Answer::Failed]);
}

/// The same where crashed executors are only known by their silence.
#[test]
fn a_task_that_silences_its_executors_is_given_up() {
    let plain = |name| Executor { born: None, ..named(name) };
    let mut scene = Scene::new(vec![plain("i-1"), plain("i-2"), plain("i-3")]);
    scene.submit();
    for _ in 0..3 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        scene.life(latest).is_up = false;
        scene.wait(Span::from_secs(2));
    }
    assert_eq!(scene.starts.len(), 2);
    assert_eq!(scene.answers, [Answer::Failed]);
}

#[test]
fn the_clock_of_an_idle_executor_is_never_old_when_a_task_starts() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.wait(Span::from_secs(5));
    // Nobody is told of the new life.
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    let clock = scene.lives[&EndpointId::of("i-1")].clock(scene.now);
    let lease = Options::default().lease.as_millis();
    assert!(scene.starts[0].2 <= clock + lease, "{:?} at {clock}", scene.starts);
}

#[test]
fn a_crashed_idle_executor_gets_no_task_until_it_answers_again() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.life(EndpointId::of("i-1")).is_up = false;
    scene.wait(Span::from_secs(2));
    scene.submit();
    scene.wait(Span::from_millis(100));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(2));
    assert_eq!(scene.starts.len(), 1);
}

/// A predecessor's run occupies room that nothing tells the size of.
#[test]
fn executors_that_start_anything_get_nothing_beside_an_unknown_run() {
    for guards in [true, false] {
        let mut scene = Scene::new(vec![named("i-1")]);
        scene.handle(service(guards));
        let unknown = Run { job: "00000000000000ff".into(), index: 0, number: 1 };
        scene.life(EndpointId::of("i-1")).running.push(unknown);
        scene.wait(Span::from_millis(800));
        scene.submit();
        scene.wait(Span::from_millis(50));
        assert_eq!(scene.starts.len(), usize::from(guards), "guards: {guards}");
        scene.life(EndpointId::of("i-1")).running.retain(|run| run.job != "00000000000000ff");
        scene.wait(Span::from_millis(500));
        assert_eq!(scene.starts.len(), 1);
    }
}

#[test]
fn capacity_that_shrinks_and_grows_is_kept_to() {
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
    scene.life(EndpointId::of("i-1")).running.truncate(1);
    scene.wait(Span::from_millis(100));
    assert_eq!(scene.starts.len(), 2, "the one that is left fills it");
    scene.handle(sized(4 * cores));
    scene.wait(Span::from_millis(100));
    assert_eq!(scene.starts.len(), 3, "the job that waited");
}
