//! The simulation: processes of entries, virtual time, and everything in transit.

use super::{
    check::Checker,
    executor::{Executor, Open, StartRecord},
    platform::{ClaimRequest, Platform},
    site::{RUN_TIME, Shape, Work, data_centre, executor_id, firm},
};
use ::site::{
    Site,
    id::{AttemptId, DataCentreId, EndpointId, EntryId, Home, Incarnation, RackId, WaiterId},
    unit::{Revision, Span, Time},
};
use dispatch::{Action, Decision, Entry, Event, Message, entry::Options, event::Reply};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Round-trip time to the platform.
const PLATFORM_ROUND_TRIP: Span = Span::from_millis(3);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessState {
    Up,
    /// Handles no events; they are kept until it resumes.
    Paused,
    Ended,
}

pub struct Process {
    pub home: Home,
    pub entry: Entry,
    pub state: ProcessState,
    /// Events received while it was paused.
    held: Vec<Event>,
    /// Time of the last tick, so that two ticks are never at the same time.
    ticked: Time,
}

/// Something in transit, or a timer.
#[derive(Debug)]
pub(super) enum Delivery {
    Event(Home, Event),
    Message { from: Home, to: Home, connection: u32, message: Message },
    Arrive(Home, AttemptId),
    Finish(Home, AttemptId, EndpointId),
    Expire(Home, AttemptId),
    Silence(Home, AttemptId),
    Claim(Home, WaiterId, ClaimRequest),
}

pub struct Simulation {
    pub now: Time,
    pub shape: Shape,
    pub revision: Revision,
    pub processes: Vec<Process>,
    pub executors: BTreeMap<EndpointId, Executor>,
    pub platform: Platform,
    pub starts: Vec<StartRecord>,
    pub log: Vec<(Time, Home, Decision)>,
    pub checker: Checker,
    pub open: BTreeMap<(Home, AttemptId), Open>,
    /// Pairs of VMs that can't reach each other.
    pub(super) partitions: BTreeSet<(usize, usize)>,
    /// Number of the connection between two processes; odd while it is up.
    pub(super) connections: BTreeMap<(Home, Home), u32>,
    deliveries: BTreeMap<(Time, u64), Delivery>,
    sequence: u64,
    incarnations: u64,
    leads: u32,
}

impl Simulation {
    /// Creates `entries` connected entries that have exchanged heartbeats. `leads` of them are lead
    /// entries.
    pub fn new(shape: Shape, entries: usize, leads: u32) -> Simulation {
        let mut sim = Simulation {
            now: Time(0),
            revision: Revision(1),
            processes: Vec::new(),
            executors: BTreeMap::new(),
            platform: Platform::default(),
            starts: Vec::new(),
            log: Vec::new(),
            checker: Checker::default(),
            open: BTreeMap::new(),
            partitions: BTreeSet::new(),
            connections: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
            leads,
            shape,
        };
        for number in 0..sim.shape.executors {
            let id = executor_id(number);
            sim.executors.insert(id, Executor::new(id, sim.shape.slots as usize, RUN_TIME));
        }
        for vm in 0..entries {
            sim.boot(vm);
        }
        sim.run(Span::from_secs(2));
        sim
    }

    fn site(&self) -> Arc<Site> {
        self.shape.build()
    }

    /// Starts a new process on a VM, beside a paused one if there is one.
    pub fn boot(&mut self, vm: usize) -> Home {
        self.incarnations += 1;
        let home = Home {
            data_centre: DataCentreId::of(&data_centre(vm % self.shape.data_centres)),
            entry: EntryId(vm as u64),
            incarnation: Incarnation(self.incarnations),
        };
        let slots = self.shape.executors as u32 * self.shape.slots;
        let options = Options {
            home,
            rack: RackId(vm as u64),
            seed: self.incarnations,
            site: self.site(),
            revision: self.revision,
            membership: membership::Options::default(),
            answer_bytes: 1 << 20,
            slots_per_lead: slots.div_ceil(self.leads).max(1),
        };
        let entry = Entry::new(options);
        self.processes.push(Process {
            home,
            entry,
            state: ProcessState::Up,
            held: Vec::new(),
            ticked: Time(0),
        });
        let others: Vec<Home> = self.processes.iter().map(|process| process.home).collect();
        self.checker.booted(home, &others);
        self.checker
            .record_event(home, &Event::Settings { revision: self.revision, site: self.site() });
        self.connect_all();
        home
    }

    pub fn process(&self, home: Home) -> Option<&Process> {
        self.processes.iter().find(|process| process.home == home)
    }

    /// Returns the latest process of a VM that has not ended.
    pub fn at(&self, vm: usize) -> Option<Home> {
        let ours = |p: &&Process| p.home.entry.0 == vm as u64 && p.state != ProcessState::Ended;
        self.processes.iter().rev().find(ours).map(|process| process.home)
    }

    pub fn entry(&self, vm: usize) -> &Entry {
        let home = self.at(vm).expect("the VM has a process");
        &self.process(home).expect("the process is known").entry
    }

    pub fn live(&self) -> Vec<Home> {
        let up = self.processes.iter().filter(|process| process.state == ProcessState::Up);
        up.map(|process| process.home).collect()
    }

    fn set_state(&mut self, home: Home, state: ProcessState) {
        let process = self.processes.iter_mut().find(|process| process.home == home);
        process.expect("the process is known").state = state;
    }

    // Faults.

    pub fn kill(&mut self, home: Home) {
        self.set_state(home, ProcessState::Ended);
        let peers: Vec<Home> = self.processes.iter().map(|process| process.home).collect();
        peers.into_iter().for_each(|peer| self.disconnect(home, peer));
        self.checker.ended(home);
    }

    pub fn pause(&mut self, home: Home) {
        self.set_state(home, ProcessState::Paused);
        self.checker.paused(home);
    }

    pub fn resume(&mut self, home: Home) {
        self.set_state(home, ProcessState::Up);
        let process = self.processes.iter_mut().find(|process| process.home == home);
        let held = process.map(|process| std::mem::take(&mut process.held)).unwrap_or_default();
        held.into_iter().for_each(|event| self.handle(home, event));
    }

    /// Sends settings to the given VMs.
    pub fn configure(&mut self, shape: Shape, revision: Revision, vms: &[usize]) {
        if revision > self.revision {
            (self.revision, self.shape) = (revision, shape.clone());
        }
        let site = shape.build();
        let homes: Vec<Home> = vms.iter().filter_map(|vm| self.at(*vm)).collect();
        for home in homes {
            self.tell(home, Event::Settings { revision, site: site.clone() });
        }
    }

    /// Publishes the platform's lists as of the previous publication.
    pub fn publish(&mut self) {
        let up = self.processes.iter().filter(|process| process.state != ProcessState::Ended);
        let current = up.map(|process| process.home).collect();
        let entries = std::mem::replace(&mut self.platform.registered, current);
        let (gone, leaving) = (self.platform.gone.clone(), self.platform.leaving.clone());
        self.checker.gone_entries.extend(&gone);
        for home in self.live() {
            self.tell(home, Event::Registry { entries: entries.clone() });
            self.tell(home, Event::Machines { gone: gone.clone(), leaving: leaving.clone() });
        }
    }

    // Time.

    /// Passes an event to a process now, or when it resumes.
    pub fn tell(&mut self, home: Home, event: Event) {
        let Some(process) = self.processes.iter_mut().find(|p| p.home == home) else { return };
        match process.state {
            ProcessState::Up => self.handle(home, event),
            ProcessState::Paused => process.held.push(event),
            ProcessState::Ended => {}
        }
    }

    fn handle(&mut self, home: Home, event: Event) {
        let mut actions = Vec::new();
        self.checker.record_event(home, &event);
        let Some(process) = self.processes.iter_mut().find(|p| p.home == home) else { return };
        let before = process.entry.revision();
        process.entry.handle(self.now, event, &mut actions);
        assert!(
            process.entry.revision() >= before,
            "an older revision of the settings is in force at {home}"
        );
        actions.into_iter().for_each(|action| self.carry_out(home, action));
    }

    fn carry_out(&mut self, home: Home, action: Action) {
        match action {
            Action::Start(start) => self.start(home, start),
            Action::Answer { waiter, id, answer } => {
                self.checker.answer(self.now, waiter, id, &answer, &self.starts);
            }
            Action::Send { to, message } => self.send(home, to, message),
            Action::Claim { waiter, firm, key, id, replaces, time_limit } => {
                let request = ClaimRequest { firm, key, id, replaces };
                self.deliver_after(
                    PLATFORM_ROUND_TRIP.min(time_limit),
                    Delivery::Claim(home, waiter, request),
                );
            }
            Action::Log(decision) => self.log.push((self.now, home, decision)),
            Action::Exit => {
                self.checker.exit(home);
                self.kill(home);
            }
            Action::Stop { .. } | Action::Status { .. } => {}
        }
    }

    pub(super) fn deliver_after(&mut self, wait: Span, delivery: Delivery) {
        self.sequence += 1;
        self.deliveries.insert((self.now + wait, self.sequence), delivery);
    }

    fn next_tick(&self) -> Option<(Time, Home)> {
        let up = self.processes.iter().filter(|process| process.state == ProcessState::Up);
        up.map(|p| (p.entry.next_timer().max(p.ticked + Span(100)), p.home)).min()
    }

    /// Advances the time.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        loop {
            let delivery = self.deliveries.keys().next().map(|(time, _)| *time);
            let tick = self.next_tick().filter(|(time, _)| delivery.is_none_or(|p| *time < p));
            let next = tick.map(|(time, _)| time).or(delivery).unwrap_or(Time::NEVER);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            match tick {
                Some((_, home)) => self.tick(home),
                None => self.deliver(),
            }
            self.checker.check_times(self.now);
        }
        self.now = end;
    }

    fn tick(&mut self, home: Home) {
        let now = self.now;
        let process = self.processes.iter_mut().find(|process| process.home == home);
        process.expect("the process is known").ticked = now;
        self.handle(home, Event::Tick);
    }

    fn deliver(&mut self) {
        let Some((_, delivery)) = self.deliveries.pop_first() else { return };
        match delivery {
            Delivery::Event(home, event) => self.tell(home, event),
            Delivery::Message { from, to, connection, message } => {
                if self.is_connected(from, to, connection) {
                    self.tell(to, Event::Message { from, message });
                }
            }
            Delivery::Arrive(home, attempt) => self.arrive(home, attempt),
            Delivery::Finish(home, attempt, executor) => self.finish(home, attempt, executor),
            Delivery::Expire(home, attempt) => self.report(home, attempt, Reply::TimedOut),
            Delivery::Silence(home, attempt) => self.report(home, attempt, Reply::Silent),
            Delivery::Claim(home, waiter, request) => {
                let result = self.platform.claim(request);
                self.tell(home, Event::Claimed { waiter, result });
            }
        }
    }

    /// Returns the number of tasks running at the executors.
    pub fn running(&self) -> usize {
        self.executors.values().map(|executor| executor.running.len()).sum()
    }

    /// Returns the capacity of all executors, in slots, that the live entries together may use.
    pub fn usable(&self) -> u32 {
        let entries =
            self.processes.iter().filter(|p| p.state == ProcessState::Up).map(|p| &p.entry);
        let pools = entries.flat_map(|entry| entry.overview().pools);
        pools.flat_map(|pool| pool.endpoints).map(|e| e.free.slots.0 + e.in_use.slots.0).sum()
    }

    /// Replaces all executors that left: the settings omit all of them and then contain them again.
    pub fn replace_executors(&mut self) {
        let all: Vec<usize> = (0..64).collect();
        let shape = Shape { leaving: Vec::new(), absent: Vec::new(), ..self.shape.clone() };
        let none = Shape { absent: (0..shape.executors).collect(), ..shape.clone() };
        self.configure(none, Revision(self.revision.0 + 1), &all);
        self.run(Span::from_millis(100));
        (0..self.shape.executors).for_each(|number| self.checker.replaced(executor_id(number)));
        self.configure(shape, Revision(self.revision.0 + 1), &all);
    }
}
