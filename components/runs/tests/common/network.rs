//! A few entries with executors and connections that a test can hold back or cut.

use super::fixture::{executor, job};
use runs::{
    Action, Decision, Entry, Event, Executor, Job, Message, Options,
    executor::{Ended, Listing, Response, RunResult, Service, StartResponse},
    job::{Answer, Run},
};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation, ServiceId, WaiterId},
    unit::{Cores, Resources, Revision, Slots, Span, Time},
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Transit time of a message, and the interval of a step.
const STEP: Span = Span::from_millis(1);

/// Interval of ticks, in steps.
const STEPS_PER_TICK: u64 = 20;

/// Time after which a lost connection is noticed, in steps.
const LOSS_STEPS: u64 = 800;

/// One executor, whose runs end with its lease.
struct Machine {
    executor: Executor,
    running: Vec<Run>,
    ended: Vec<Ended>,
    /// When its lease ends, by its clock.
    deadline: u64,
}

/// Entries, each the only one of its data centre, with the executors there.
pub(crate) struct Network {
    pub(crate) now: Time,
    entries: BTreeMap<Home, Entry>,
    machines: BTreeMap<EndpointId, Machine>,
    transit: VecDeque<(Home, Home, Message)>,
    /// Connections whose messages are held back.
    held: BTreeSet<(Home, Home)>,
    /// Entries that do not run for a while, with the step in which they go on and what has arrived
    /// for them meanwhile.
    paused: BTreeMap<Home, (u64, Vec<Event>)>,
    /// Connections that deliver no reports of room.
    silenced: BTreeSet<(Home, Home)>,
    /// Whether stops and polls get lost.
    pub(crate) loses_orders: bool,
    /// Whether stops get lost.
    pub(crate) loses_stops: bool,
    /// Events for entries, by the step in which they are due.
    due: BTreeMap<u64, Vec<(Home, Event)>>,
    step: u64,
    /// The runs that executors started, with the data centre.
    pub(crate) starts: Vec<(DataCentreId, Run)>,
    pub(crate) answers: Vec<(WaiterId, Answer)>,
    /// All messages, as they were sent.
    pub(crate) sent: Vec<(Home, Home, Message)>,
    pub(crate) log: Vec<(Home, Decision)>,
    waiters: u64,
}

/// The entry of a data centre.
pub(crate) fn entry(data_centre: u64) -> Home {
    Home {
        data_centre: DataCentreId(data_centre),
        entry: EntryId(data_centre),
        incarnation: Incarnation(7),
    }
}

/// A job of tasks of half an executor each, with a deadline far away.
pub(crate) fn half_job(name: &str, tasks: u16, now: Time) -> Job {
    let needs = Resources { slots: Slots(1), cores: Cores(32_000), ..Resources::default() };
    let (due, give_up) = (now + Span::from_secs(6), now + Span::from_secs(9));
    Job { name: name.into(), tasks, needs, due, give_up, ..job(now) }
}

impl Network {
    /// Entries of the data centres 0, 1, 2 and so on, with this number of executors each.
    pub(crate) fn new(executors: &[usize], options: Options) -> Self {
        let now = Time(1_000_000);
        let homes: Vec<_> = (0..executors.len() as u64).map(entry).collect();
        let mut machines = BTreeMap::new();
        for (home, count) in homes.iter().zip(executors) {
            for index in 0..*count {
                let name = format!("i-{}-{index}", home.data_centre.0);
                let id = EndpointId::of(&name);
                let data_centre = home.data_centre;
                let executor = Executor { id, name: name.into(), data_centre, ..executor() };
                let (running, ended) = (Vec::new(), Vec::new());
                machines.insert(id, Machine { executor, running, ended, deadline: 0 });
            }
        }
        let mut network = Self {
            now,
            entries: homes.iter().map(|home| (*home, Entry::new(*home, options, now))).collect(),
            machines,
            transit: VecDeque::new(),
            held: BTreeSet::new(),
            paused: BTreeMap::new(),
            silenced: BTreeSet::new(),
            loses_orders: false,
            loses_stops: false,
            due: BTreeMap::new(),
            step: 0,
            starts: Vec::new(),
            answers: Vec::new(),
            sent: Vec::new(),
            log: Vec::new(),
            waiters: 0,
        };
        let listed: Vec<_> = network.machines.values().map(|m| m.executor.clone()).collect();
        for home in &homes {
            let revision = Revision(41);
            network.handle(*home, Event::Members { revision, members: homes.clone() });
            network.handle(*home, Event::Executors(listed.clone()));
            for peer in homes.iter().filter(|peer| *peer != home) {
                network.handle(*home, Event::PeerUp { peer: *peer });
            }
        }
        network.wait(1_000);
        network.sent.clear();
        network
    }

    pub(crate) fn submit(&mut self, to: Home, job: Job) -> WaiterId {
        self.waiters += 1;
        let waiter = WaiterId(self.waiters);
        self.handle(to, Event::Submit { waiter, job });
        waiter
    }

    pub(crate) fn leave(&mut self, home: Home, waiter: WaiterId) {
        self.handle(home, Event::Leave { waiter });
    }

    /// Gives an entry a new version of the configuration, which it reports to its peers at once.
    pub(crate) fn configure(&mut self, home: Home, version: u64) {
        let service = Service { id: ServiceId::of("service"), guards_capacity: true };
        self.handle(home, Event::Configured { version, services: vec![service] });
    }

    /// Holds back the messages of a connection in one direction.
    pub(crate) fn hold(&mut self, from: Home, to: Home) {
        self.held.insert((from, to));
    }

    pub(crate) fn release(&mut self, from: Home, to: Home) {
        self.held.remove(&(from, to));
    }

    /// Drops reports of room on a connection, so that the receiver goes by an old one.
    pub(crate) fn silence(&mut self, from: Home, to: Home) {
        self.silenced.insert((from, to));
    }

    /// Keeps an entry from running for this time. It handles what arrives meanwhile when it goes on.
    pub(crate) fn pause(&mut self, home: Home, ms: u64) {
        self.paused.insert(home, (self.step + ms, Vec::new()));
    }

    /// Ends an entry. What it has sent and is still in transit is lost with its connections.
    pub(crate) fn kill(&mut self, home: Home) {
        self.entries.remove(&home);
        self.transit.retain(|(from, to, _)| *from != home && *to != home);
        let peers: Vec<_> = self.entries.keys().copied().collect();
        let events = peers.into_iter().map(|peer| (peer, Event::PeerDown { peer: home }));
        self.due.entry(self.step + LOSS_STEPS).or_default().extend(events);
    }

    /// Lets all runs on the executors of a data centre end well.
    pub(crate) fn end_runs(&mut self, data_centre: u64) {
        let there = |m: &&mut Machine| m.executor.data_centre == DataCentreId(data_centre);
        for machine in self.machines.values_mut().filter(there) {
            for run in std::mem::take(&mut machine.running) {
                let number = machine.ended.len() as u64 + 1;
                machine.ended.push(Ended { number, run: Some(run), result: RunResult::Done });
            }
        }
    }

    /// The number of executors on which a job runs.
    pub(crate) fn running(&self, job: &str) -> usize {
        let machines = self.machines.values();
        machines.filter(|machine| machine.running.iter().any(|run| run.job == job)).count()
    }

    /// The data centres in which tasks of a job were started, in order.
    pub(crate) fn started(&self, job: &str) -> Vec<u64> {
        let of_job = self.starts.iter().filter(|(_, run)| run.job == job);
        of_job.map(|(data_centre, _)| data_centre.0).collect()
    }

    /// The messages that match, as sender and receiver.
    pub(crate) fn sent(&self, matches: impl Fn(&Message) -> bool) -> Vec<(Home, Home)> {
        let sent = self.sent.iter().filter(|(.., message)| matches(message));
        sent.map(|(from, to, _)| (*from, *to)).collect()
    }

    pub(crate) fn wait(&mut self, ms: u64) {
        (0..ms).for_each(|_| self.step());
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.step += 1;
        let clock = self.clock();
        for machine in self.machines.values_mut().filter(|machine| machine.deadline < clock) {
            machine.running.clear();
        }
        let step = self.step;
        let resumed = self.paused.extract_if(.., |_, (until, _)| *until <= step);
        for (home, (_, backlog)) in resumed.collect::<Vec<_>>() {
            backlog.into_iter().for_each(|event| self.handle(home, event));
        }
        for (home, event) in self.due.remove(&self.step).unwrap_or_default() {
            self.handle(home, event);
        }
        for (from, to, message) in std::mem::take(&mut self.transit) {
            match self.held.contains(&(from, to)) {
                true => self.transit.push_back((from, to, message)),
                false => self.handle(to, Event::Message { from, message }),
            }
        }
        if self.step.is_multiple_of(STEPS_PER_TICK) {
            let homes: Vec<_> = self.entries.keys().copied().collect();
            homes.into_iter().for_each(|home| self.handle(home, Event::Tick));
        }
    }

    fn clock(&self) -> u64 {
        self.now.0 / 1_000
    }

    fn handle(&mut self, home: Home, event: Event) {
        if let Some((_, backlog)) = self.paused.get_mut(&home) {
            // A timer does not make up for missed ticks.
            if !matches!(event, Event::Tick) {
                backlog.push(event);
            }
            return;
        }
        let mut actions = Vec::new();
        if let Some(entry) = self.entries.get_mut(&home) {
            entry.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.carry_out(home, action);
        }
    }

    fn carry_out(&mut self, home: Home, action: Action) {
        let clock = self.clock();
        let (delay, event) = match action {
            Action::Send { to, message } => {
                let is_silenced = self.silenced.contains(&(home, to));
                if !(is_silenced && matches!(message, Message::Report(_))) {
                    self.transit.push_back((home, to, message.clone()));
                }
                return self.sent.push((home, to, message));
            }
            Action::Start(start) => {
                self.check_start(&start.run);
                let machine = self.machines.get_mut(&start.executor).expect("an executor");
                machine.deadline = machine.deadline.max(start.deadline);
                machine.running.push(start.run.clone());
                self.starts.push((machine.executor.data_centre, start.run.clone()));
                let (executor, run) = (start.executor, start.run);
                let reply = StartResponse::Running { clock };
                (1, Event::Started { executor, run, reply })
            }
            Action::Stop { executor, run, .. } => {
                let machine = self.machines.get_mut(&executor).expect("an executor");
                let reply = match self.loses_orders || self.loses_stops {
                    true => Response::Silent,
                    false => {
                        machine.running.retain(|other| *other != run);
                        Response::Done(())
                    }
                };
                (1, Event::Stopped { executor, run, reply })
            }
            Action::Poll(poll) if self.loses_orders => {
                let (executor, number) = (poll.executor, poll.number);
                (100, Event::Polled { executor, number, reply: Response::Silent })
            }
            Action::Poll(poll) => {
                let machine = self.machines.get_mut(&poll.executor).expect("an executor");
                machine.deadline = machine.deadline.max(poll.deadline.unwrap_or_default());
                let ended = machine.ended.iter().filter(|end| end.number > poll.acknowledged);
                let listing = Listing {
                    clock,
                    incarnation: None,
                    running: machine.running.clone(),
                    ended: ended.cloned().collect(),
                };
                let (executor, number) = (poll.executor, poll.number);
                (10, Event::Polled { executor, number, reply: Response::Done(listing) })
            }
            Action::Answer { waiter, answer } => return self.answers.push((waiter, answer)),
            Action::Log(decision) => return self.log.push((home, decision)),
            Action::WatchExecutors(_) | Action::Exit => return,
        };
        self.due.entry(self.step + delay).or_default().push((home, event));
    }

    fn check_start(&self, run: &Run) {
        let is_same = |other: &&Run| other.job == run.job && other.index == run.index;
        let mut running = self.machines.values().flat_map(|machine| &machine.running);
        let other = running.find(is_same);
        assert!(other.is_none(), "{run} starts while {other:?} runs at {}", self.now);
    }
}
