//! The world: processes of entries, the time, and everything that is on its way.

use super::{
    check::Book,
    executor::{Began, Executor, Open},
    platform::{Platform, Wanted},
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

/// A round trip to the platform.
const CLAIM: Span = Span::from_millis(3);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Life {
    Up,
    /// Takes no step; what it is told waits.
    Frozen,
    Dead,
}

pub struct Process {
    pub home: Home,
    pub entry: Entry,
    pub life: Life,
    /// Told while it was frozen.
    held: Vec<Event>,
    /// No two ticks at one moment.
    ticked: Time,
}

/// Something on its way.
#[derive(Debug)]
pub(super) enum Parcel {
    Event(Home, Event),
    Message { from: Home, to: Home, connection: u32, message: Message },
    Arrive(Home, AttemptId),
    Finish(Home, AttemptId, EndpointId),
    Expire(Home, AttemptId),
    Silence(Home, AttemptId),
    Claim(Home, WaiterId, Wanted),
}

pub struct World {
    pub now: Time,
    pub shape: Shape,
    pub revision: Revision,
    pub processes: Vec<Process>,
    pub executors: BTreeMap<EndpointId, Executor>,
    pub platform: Platform,
    pub ledger: Vec<Began>,
    pub log: Vec<(Time, Home, Decision)>,
    pub book: Book,
    pub open: BTreeMap<(Home, AttemptId), Open>,
    /// Pairs of VMs that can't reach each other.
    pub(super) cuts: BTreeSet<(usize, usize)>,
    /// Number of the connection between two processes; odd while it is up.
    pub(super) connections: BTreeMap<(Home, Home), u32>,
    parcels: BTreeMap<(Time, u64), Parcel>,
    sequence: u64,
    incarnations: u64,
    leads: u32,
}

impl World {
    /// `entries` entries, connected, that have heard of each other. `leads` of them place tasks.
    pub fn new(shape: Shape, entries: usize, leads: u32) -> World {
        let mut world = World {
            now: Time(0),
            revision: Revision(1),
            processes: Vec::new(),
            executors: BTreeMap::new(),
            platform: Platform::default(),
            ledger: Vec::new(),
            log: Vec::new(),
            book: Book::default(),
            open: BTreeMap::new(),
            cuts: BTreeSet::new(),
            connections: BTreeMap::new(),
            parcels: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
            leads,
            shape,
        };
        for number in 0..world.shape.executors {
            let id = executor_id(number);
            world.executors.insert(id, Executor::new(id, world.shape.slots as usize, RUN_TIME));
        }
        for vm in 0..entries {
            world.boot(vm);
        }
        world.run(Span::from_secs(2));
        world
    }

    fn site(&self) -> Arc<Site> {
        self.shape.build()
    }

    /// Starts a new process on a VM, besides a frozen one if there is any.
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
            life: Life::Up,
            held: Vec::new(),
            ticked: Time(0),
        });
        let others: Vec<Home> = self.processes.iter().map(|process| process.home).collect();
        self.book.booted(home, &others);
        self.book.learn(home, &Event::Settings { revision: self.revision, site: self.site() });
        self.connect_all();
        home
    }

    pub fn process(&self, home: Home) -> Option<&Process> {
        self.processes.iter().find(|process| process.home == home)
    }

    /// The latest process of a VM that has not ended.
    pub fn at(&self, vm: usize) -> Option<Home> {
        let ours = |p: &&Process| p.home.entry.0 == vm as u64 && p.life != Life::Dead;
        self.processes.iter().rev().find(ours).map(|process| process.home)
    }

    pub fn entry(&self, vm: usize) -> &Entry {
        let home = self.at(vm).expect("the VM has a process");
        &self.process(home).expect("the process is known").entry
    }

    pub fn live(&self) -> Vec<Home> {
        let up = self.processes.iter().filter(|process| process.life == Life::Up);
        up.map(|process| process.home).collect()
    }

    fn set_life(&mut self, home: Home, life: Life) {
        let process = self.processes.iter_mut().find(|process| process.home == home);
        process.expect("the process is known").life = life;
    }

    // Faults.

    pub fn kill(&mut self, home: Home) {
        self.set_life(home, Life::Dead);
        let peers: Vec<Home> = self.processes.iter().map(|process| process.home).collect();
        peers.into_iter().for_each(|peer| self.disconnect(home, peer));
        self.book.ended(home);
    }

    pub fn freeze(&mut self, home: Home) {
        self.set_life(home, Life::Frozen);
        self.book.paused(home);
    }

    pub fn thaw(&mut self, home: Home) {
        self.set_life(home, Life::Up);
        let process = self.processes.iter_mut().find(|process| process.home == home);
        let held = process.map(|process| std::mem::take(&mut process.held)).unwrap_or_default();
        held.into_iter().for_each(|event| self.handle(home, event));
    }

    /// Puts settings in force at the given VMs.
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

    /// The platform publishes what it knew at the publication before.
    pub fn publish(&mut self) {
        let up = self.processes.iter().filter(|process| process.life != Life::Dead);
        let current = up.map(|process| process.home).collect();
        let entries = std::mem::replace(&mut self.platform.registered, current);
        let (gone, leaving) = (self.platform.gone.clone(), self.platform.leaving.clone());
        self.book.gone_entries.extend(&gone);
        for home in self.live() {
            self.tell(home, Event::Registry { entries: entries.clone() });
            self.tell(home, Event::Machines { gone: gone.clone(), leaving: leaving.clone() });
        }
    }

    // Time.

    /// Hands an event to a process now, or when it wakes.
    pub fn tell(&mut self, home: Home, event: Event) {
        let Some(process) = self.processes.iter_mut().find(|p| p.home == home) else { return };
        match process.life {
            Life::Up => self.handle(home, event),
            Life::Frozen => process.held.push(event),
            Life::Dead => {}
        }
    }

    fn handle(&mut self, home: Home, event: Event) {
        let mut actions = Vec::new();
        self.book.learn(home, &event);
        let Some(process) = self.processes.iter_mut().find(|p| p.home == home) else { return };
        let before = process.entry.revision();
        process.entry.handle(self.now, event, &mut actions);
        assert!(process.entry.revision() >= before, "settings went back at {home}");
        actions.into_iter().for_each(|action| self.carry_out(home, action));
    }

    fn carry_out(&mut self, home: Home, action: Action) {
        match action {
            Action::Start(start) => self.start(home, start),
            Action::Answer { waiter, id, answer } => {
                self.book.answer(self.now, waiter, id, &answer, &self.ledger);
            }
            Action::Send { to, message } => self.send(home, to, message),
            Action::Claim { waiter, firm, key, id, replaces, time_limit } => {
                let wanted = Wanted { firm, key, id, replaces };
                self.post(CLAIM.min(time_limit), Parcel::Claim(home, waiter, wanted));
            }
            Action::Log(decision) => self.log.push((self.now, home, decision)),
            Action::Exit => {
                self.book.exit(home);
                self.kill(home);
            }
            Action::Stop { .. } | Action::Status { .. } => {}
        }
    }

    pub(super) fn post(&mut self, wait: Span, parcel: Parcel) {
        self.sequence += 1;
        self.parcels.insert((self.now + wait, self.sequence), parcel);
    }

    fn next_tick(&self) -> Option<(Time, Home)> {
        let up = self.processes.iter().filter(|process| process.life == Life::Up);
        up.map(|p| (p.entry.next_timer().max(p.ticked + Span(100)), p.home)).min()
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        loop {
            let parcel = self.parcels.keys().next().map(|(time, _)| *time);
            let tick = self.next_tick().filter(|(time, _)| parcel.is_none_or(|p| *time < p));
            let next = tick.map(|(time, _)| time).or(parcel).unwrap_or(Time::NEVER);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            match tick {
                Some((_, home)) => self.tick(home),
                None => self.deliver(),
            }
            self.book.check_times(self.now);
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
        let Some((_, parcel)) = self.parcels.pop_first() else { return };
        match parcel {
            Parcel::Event(home, event) => self.tell(home, event),
            Parcel::Message { from, to, connection, message } => {
                if self.is_connected(from, to, connection) {
                    self.tell(to, Event::Message { from, message });
                }
            }
            Parcel::Arrive(home, attempt) => self.arrive(home, attempt),
            Parcel::Finish(home, attempt, executor) => self.finish(home, attempt, executor),
            Parcel::Expire(home, attempt) => self.report(home, attempt, Reply::TimedOut),
            Parcel::Silence(home, attempt) => self.report(home, attempt, Reply::Silent),
            Parcel::Claim(home, waiter, wanted) => {
                let result = self.platform.claim(wanted);
                self.tell(home, Event::Claimed { waiter, result });
            }
        }
    }

    /// Tasks that run now, at the executors.
    pub fn running(&self) -> usize {
        self.executors.values().map(|executor| executor.running.len()).sum()
    }

    /// What the live entries together may use of all executors, in slots.
    pub fn usable(&self) -> u32 {
        let entries = self.processes.iter().filter(|p| p.life == Life::Up).map(|p| &p.entry);
        let pools = entries.flat_map(|entry| entry.overview().pools);
        pools.flat_map(|pool| pool.endpoints).map(|e| e.free.slots.0 + e.in_use.slots.0).sum()
    }

    /// New executors take the place of those that left: the settings leave all of them out and
    /// name them again.
    pub fn replace_executors(&mut self) {
        let all: Vec<usize> = (0..64).collect();
        let shape = Shape { leaving: Vec::new(), absent: Vec::new(), ..self.shape.clone() };
        let none = Shape { absent: (0..shape.executors).collect(), ..shape.clone() };
        self.configure(none, Revision(self.revision.0 + 1), &all);
        self.run(Span::from_millis(100));
        (0..self.shape.executors).for_each(|number| self.book.replaced(executor_id(number)));
        self.configure(shape, Revision(self.revision.0 + 1), &all);
    }
}
