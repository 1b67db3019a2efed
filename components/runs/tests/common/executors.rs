//! An entry and simulated executors, for tests of what it concludes from their responses.

use super::fixture::{executor, home, job};
use runs::{
    Action, Decision, Entry, Event, Executor, Job, Options,
    action::Poll,
    executor::{Ended, Incarnation, Listing, Refusal, Response, RunResult, Service, StartResponse},
    job::{Answer, Run},
};
use site::{
    id::{EndpointId, ServiceId, WaiterId},
    unit::{Revision, Span, Time},
};
use std::collections::BTreeMap;

pub(crate) const TICK_INTERVAL: Span = Span::from_millis(5);

/// What is at the address of an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Process {
    /// The executor.
    Up,
    /// Something that never responds.
    Silent,
    /// Nothing: connections are refused, so that no order is sent.
    Down,
    /// The next incarnation, which has another name and rejects orders for the executor.
    Replaced,
    /// The executor, which refuses every start.
    Refusing(Refusal),
}

/// One simulated executor.
pub(crate) struct FakeExecutor {
    pub(crate) incarnation: Option<Incarnation>,
    started_at: Time,
    pub(crate) running: Vec<Run>,
    pub(crate) ended: Vec<Ended>,
    pub(crate) process: Process,
}

/// An entry and its executors, which respond to starts and stops at once.
pub(crate) struct Scene {
    entry: Entry,
    pub(crate) now: Time,
    pub(crate) executors: BTreeMap<EndpointId, FakeExecutor>,
    /// Executor, run and lease deadline of each start.
    pub(crate) starts: Vec<(EndpointId, Run, u64)>,
    polls: Vec<Poll>,
    /// Lease deadlines of all polls that extended a lease.
    pub(crate) renewals: Vec<u64>,
    /// Results of starts that were not sent or were refused, which arrive with the next tick.
    not_started: Vec<Event>,
    pub(crate) answers: Vec<Answer>,
    pub(crate) decisions: Vec<Decision>,
    /// Number of stops that were carried out.
    stops: usize,
    /// Number of further stops that are lost.
    pub(crate) lost_stops: usize,
    jobs: u64,
}

impl Scene {
    pub(crate) fn new(executors: Vec<Executor>) -> Self {
        Self::with_options(Options::default(), executors)
    }

    pub(crate) fn with_options(options: Options, executors: Vec<Executor>) -> Self {
        let me = home("entry-1");
        let now = Time(1_000_000);
        let mut scene = Scene {
            entry: Entry::new(me, options, now),
            now,
            executors: executors
                .iter()
                .map(|e| (e.id, FakeExecutor::new(e.incarnation, now)))
                .collect(),
            starts: Vec::new(),
            polls: Vec::new(),
            renewals: Vec::new(),
            not_started: Vec::new(),
            answers: Vec::new(),
            decisions: Vec::new(),
            stops: 0,
            lost_stops: 0,
            jobs: 0,
        };
        scene.handle(Event::Members { revision: Revision(41), members: vec![me] });
        scene.handle(Event::Executors(executors));
        scene.wait(Span::from_millis(300));
        scene
    }

    pub(crate) fn handle(&mut self, event: Event) {
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
                let reply = match fake.process {
                    Process::Up => {
                        fake.running.push(start.run.clone());
                        StartResponse::Running { clock: fake.clock(self.now) }
                    }
                    Process::Silent => StartResponse::Unknown,
                    Process::Down | Process::Refusing(_) => {
                        let clock = Some(fake.clock(self.now));
                        let reply = match fake.process {
                            Process::Refusing(why) => StartResponse::Refused { clock, why },
                            _ => StartResponse::Unsent,
                        };
                        let (executor, run) = (start.executor, start.run);
                        self.not_started.push(Event::Started { executor, run, reply });
                        return None;
                    }
                    Process::Replaced => StartResponse::Gone,
                };
                Some(Event::Started { executor: start.executor, run: start.run, reply })
            }
            Action::Poll(poll) => {
                self.renewals.extend(poll.deadline);
                self.polls.push(poll);
                None
            }
            Action::Answer { answer, .. } => {
                self.answers.push(answer);
                None
            }
            Action::Log(decision) => {
                self.decisions.push(decision);
                None
            }
            Action::Stop { executor, run, .. } => {
                let reply = match self.executors[&executor].process {
                    _ if self.lost_stops > 0 => {
                        self.lost_stops -= 1;
                        Response::Silent
                    }
                    Process::Up | Process::Refusing(_) => {
                        self.stops += 1;
                        Response::Done(())
                    }
                    Process::Silent | Process::Down => Response::Silent,
                    Process::Replaced => Response::Gone,
                };
                Some(Event::Stopped { executor, run, reply })
            }
            _ => None,
        }
    }

    /// Responds to the outstanding polls.
    pub(crate) fn respond_to_polls(&mut self) {
        for poll in std::mem::take(&mut self.polls) {
            let fake = &self.executors[&poll.executor];
            let reply = match fake.process {
                Process::Up | Process::Refusing(_) => {
                    Response::Done(fake.listing(self.now, poll.acknowledged))
                }
                Process::Silent | Process::Down => Response::Silent,
                Process::Replaced => Response::Gone,
            };
            self.handle(Event::Polled { executor: poll.executor, number: poll.number, reply });
        }
    }

    pub(crate) fn wait(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL;
            self.handle(Event::Tick);
            std::mem::take(&mut self.not_started).into_iter().for_each(|event| self.handle(event));
            self.respond_to_polls();
        }
    }

    /// Waits until a stop is carried out.
    pub(crate) fn wait_for_stop(&mut self) {
        while self.stops == 0 {
            self.now = self.now + TICK_INTERVAL;
            self.handle(Event::Tick);
            if self.stops == 0 {
                self.respond_to_polls();
            }
        }
    }

    /// Submits a job of one task of about a second, with a deadline far in the future.
    pub(crate) fn submit(&mut self) {
        self.submit_tasks(1);
    }

    /// The same with several tasks.
    pub(crate) fn submit_tasks(&mut self, tasks: u16) {
        self.jobs += 1;
        let job = Job {
            tasks,
            name: format!("{:016x}", self.jobs).into(),
            due: self.now + Span::from_secs(20),
            give_up: self.now + Span::from_secs(30),
            ..job(self.now)
        };
        self.handle(Event::Submit { waiter: WaiterId(self.jobs), job });
    }

    pub(crate) fn executor(&mut self, id: EndpointId) -> &mut FakeExecutor {
        self.executors.get_mut(&id).expect("an executor of the test")
    }

    /// The executor of the latest start.
    pub(crate) fn latest(&self) -> EndpointId {
        self.starts.last().expect("a start").0
    }

    /// An executor that was leaving is back at once, and the store lists its next incarnation.
    pub(crate) fn restart(&mut self, id: EndpointId, registered: &mut [Executor]) {
        self.crash(id);
        let incarnation = self.executor(id).incarnation;
        for executor in registered.iter_mut().filter(|executor| executor.id == id) {
            executor.incarnation = incarnation;
            executor.leaving = false;
        }
        self.handle(Event::Executors(registered.to_vec()));
    }

    /// The executor crashes and is back at once, in a later incarnation.
    pub(crate) fn crash(&mut self, id: EndpointId) {
        let now = self.now;
        let fake = self.executor(id);
        let incarnation = fake.incarnation.map(|incarnation| Incarnation(incarnation.0 + 1));
        *fake = FakeExecutor::new(incarnation, now);
    }
}

impl FakeExecutor {
    fn new(incarnation: Option<Incarnation>, started_at: Time) -> Self {
        Self {
            incarnation,
            started_at,
            running: Vec::new(),
            ended: Vec::new(),
            process: Process::Up,
        }
    }

    pub(crate) fn clock(&self, now: Time) -> u64 {
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

    pub(crate) fn end_all(&mut self) {
        self.end_all_as(RunResult::Done);
    }

    pub(crate) fn end_all_as(&mut self, result: RunResult) {
        for run in std::mem::take(&mut self.running) {
            let number = self.ended.len() as u64 + 1;
            self.ended.push(Ended { number, run: Some(run), result });
        }
    }
}

pub(crate) fn named(name: &str) -> Executor {
    Executor {
        id: EndpointId::of(name),
        name: name.into(),
        incarnation: Some(Incarnation(1)),
        ..executor()
    }
}

/// An executor whose incarnations have names of their own.
pub(crate) fn renamed(name: &str) -> Executor {
    Executor { incarnation: None, ..named(name) }
}

pub(crate) fn service(guards_capacity: bool) -> Event {
    let service = Service { id: ServiceId::of("service"), guards_capacity };
    Event::Configured { version: 1, services: vec![service] }
}
