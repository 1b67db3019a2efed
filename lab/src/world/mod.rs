//! A site of entries and executors in virtual time. What it checks holds at every moment: no task
//! runs twice at a time, no refused job ever runs, each caller gets one answer in time, and only
//! whole jobs are called complete.

mod arrival;
mod callers;
mod cordons;
mod faults;
mod layout;
mod nodes;
mod orders;
mod plan;

pub use arrival::{Arrival, Outcome, Record};
pub use layout::service;
pub use plan::{Fault, Plan, Zone};

use compact_str::CompactString;
use layout::{capacity, executor, home};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runs::{
    Entry, Event, Executor, Job, Message,
    action::{Poll, Start},
    entry::TICK,
    job::Run,
};
use rustc_hash::FxHashMap;
use site::{
    id::{EndpointId, Home, Incarnation},
    unit::{Resources, Span, Time},
};
use standin::leased::ExecutorState;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

/// One way of a message or an order.
const WAY_US: u64 = 1_000;
/// One way between a caller and an entry.
const CALLER_WAY_US: u64 = 3_000;
/// A peer that is silent for this long is lost.
const PEER_IDLE_US: u64 = 800_000;
/// An order without an answer is given up after this time.
const ORDER_US: u64 = 300_000;
/// A caller hands its job in again this long after a break.
const RESEND_US: u64 = 1_300_000;
/// A registration outlives its process for this long.
const REGISTRATION_US: u64 = 2_000_000;
/// When the first job comes in.
const BEGIN_US: u64 = 3_000_000;
/// How late an answer may be against the job's own limit.
const ANSWER_SLACK_US: u64 = 100_000;

struct Node {
    home: Home,
    entry: Option<Entry>,
    frozen_until: Time,
    cut_until: Time,
    blind_until: Time,
    listed: bool,
    exited: bool,
}

struct Slot {
    executor: Executor,
    fake: ExecutorState,
    life: u32,
}

struct Caller {
    node: usize,
    job: Job,
    /// Which of the drawn arrivals it is.
    arrival: Option<usize>,
    answered: bool,
    left: bool,
}

/// What a job's tasks take.
struct Work {
    lengths: Vec<Span>,
    needs: Resources,
}

#[derive(Debug)]
enum Step {
    Feed(usize, Incarnation, Event),
    Deliver { from: Home, to: usize, message: Message },
    Order(usize, Incarnation, Order),
    Submit,
    Arrive(usize),
    Again(Job, Option<usize>),
    Tick(usize, Incarnation),
    Fault(Fault),
    Unfault(Fault),
    Restart(usize),
    Lapse(usize, Incarnation),
    LinkDown(usize, Home),
    LinkUp(usize, usize),
    Revive(usize),
}

/// Whether an order has reached its executor, which it does once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    Coming,
    There,
}

#[derive(Clone, Debug)]
enum Order {
    Start(Start),
    Stop {
        executor: EndpointId,
        run: Run,
        token: u64,
    },
    /// With the moment until which it waits.
    Look(Poll, Time, Progress),
}

/// A site in virtual time.
pub struct World {
    /// The moment that it has reached.
    pub now: Time,
    plan: Plan,
    random: ChaCha8Rng,
    steps: BinaryHeap<Reverse<(Time, u64)>>,
    content: BTreeMap<u64, Step>,
    next: u64,
    nodes: Vec<Node>,
    slots: Vec<Slot>,
    links: BTreeSet<(Home, Home)>,
    callers: BTreeMap<u64, Caller>,
    revision: u64,
    /// Data centres under cordon, with the moment since when.
    cordons: BTreeMap<usize, Time>,
    next_job: u64,
    /// Starts by job name.
    started: BTreeMap<String, u64>,
    refused: BTreeSet<String>,
    /// Jobs whose caller saw a break.
    broken: BTreeSet<String>,
    done: BTreeSet<(String, u16)>,
    works: FxHashMap<CompactString, Work>,
    /// What became of the drawn arrivals.
    pub records: Vec<Record>,
    /// Answers, by their names.
    pub answers: BTreeMap<&'static str, u64>,
    /// Tasks that executors have begun.
    pub starts: u64,
    /// What they take on sound executors, in thousandths of a core times microseconds.
    pub begun_work: u64,
    /// Reports of room that entries sent to each other while jobs came in.
    pub reports: u64,
}

impl World {
    /// A site whose first job comes after three seconds. `seed` decides all that is left to chance.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..plan.entry_count()).map(|index| Node {
            home: home(&plan, index, random.random()),
            entry: None,
            frozen_until: Time(0),
            cut_until: Time(0),
            blind_until: Time(0),
            listed: false,
            exited: false,
        });
        let nodes = nodes.collect();
        let slots = (0..plan.executor_count()).map(|index| Slot {
            executor: executor(&plan, index, 0),
            fake: ExecutorState::new(
                capacity(&plan, index),
                [0, 10, 20][index % 3],
                random.random_range(0..1_000_000),
            ),
            life: 0,
        });
        let slots = slots.collect();
        let mut world = Self {
            now: Time(1_000_000),
            plan,
            random,
            steps: BinaryHeap::new(),
            content: BTreeMap::new(),
            next: 0,
            nodes,
            slots,
            links: BTreeSet::new(),
            callers: BTreeMap::new(),
            revision: 1,
            cordons: BTreeMap::new(),
            next_job: 0,
            started: BTreeMap::new(),
            refused: BTreeSet::new(),
            broken: BTreeSet::new(),
            done: BTreeSet::new(),
            works: FxHashMap::default(),
            records: Vec::new(),
            answers: BTreeMap::new(),
            starts: 0,
            begun_work: 0,
            reports: 0,
        };
        for node in 0..world.nodes.len() {
            world.boot(node);
        }
        world.begin_traffic();
        for (ms, fault) in world.plan.faults.clone() {
            world.at(Time(BEGIN_US + ms * 1_000), Step::Fault(fault));
        }
        world
    }

    /// Plays the day and some time after it, so that everything can end.
    pub fn play(&mut self) {
        let end = Time(self.end_us() + self.longest_us().max(9_000_000));
        while let Some(Reverse((time, number))) = self.steps.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if let Some(step) = self.content.remove(&number) {
                self.step(step);
            }
        }
        let open: Vec<_> = self
            .callers
            .values()
            .filter(|caller| !caller.answered && !caller.left)
            .map(|caller| &caller.job.name)
            .collect();
        assert!(open.is_empty(), "jobs without an answer: {open:?}");
        let running: usize = self
            .slots
            .iter_mut()
            .map(|slot| {
                slot.fake.end_due_runs(end);
                slot.fake.running.len()
            })
            .sum();
        assert_eq!(running, 0, "runs without a job");
    }

    fn at(&mut self, time: Time, step: Step) {
        self.next += 1;
        self.content.insert(self.next, step);
        self.steps.push(Reverse((time.max(self.now), self.next)));
    }

    fn after(&mut self, us: u64, step: Step) {
        self.at(Time(self.now.0 + us), step);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Feed(node, incarnation, event) => {
                if self.nodes[node].home.incarnation == incarnation {
                    self.feed(node, event);
                }
            }
            Step::Tick(node, incarnation) => {
                if self.nodes[node].home.incarnation == incarnation && self.is_up(node) {
                    self.feed(node, Event::Tick);
                    self.after(TICK.0, Step::Tick(node, incarnation));
                }
            }
            Step::Deliver { from, to, message } => {
                if self.links.contains(&(from, self.nodes[to].home)) {
                    self.feed(to, Event::Message { from, message });
                }
            }
            Step::Order(node, incarnation, order) => self.order(node, incarnation, order),
            Step::Submit => self.submit_fresh(),
            Step::Arrive(arrival) => self.arrive(arrival),
            Step::Again(job, arrival) => self.submit(job, arrival),
            Step::Fault(fault) => self.fault(fault),
            Step::Unfault(fault) => self.unfault(fault),
            Step::Restart(node) => self.boot(node),
            Step::Lapse(node, incarnation) => {
                if self.nodes[node].home.incarnation == incarnation && !self.is_up(node) {
                    self.nodes[node].listed = false;
                    self.tell_members();
                }
            }
            Step::LinkDown(node, peer) => {
                let me = self.nodes[node].home;
                if self.links.remove(&(peer, me)) {
                    self.feed(node, Event::PeerDown { peer });
                }
            }
            Step::LinkUp(a, b) => self.link(a, b),
            Step::Revive(slot) => {
                let life = self.slots[slot].life + 1;
                let offset = self.random.random_range(0..1_000_000);
                self.slots[slot] = Slot {
                    executor: executor(&self.plan, slot, life),
                    fake: ExecutorState::new(capacity(&self.plan, slot), 10, offset),
                    life,
                };
                self.tell_executors();
            }
        }
    }

    /// Whether jobs come in.
    fn is_busy(&self) -> bool {
        (BEGIN_US..self.end_us()).contains(&self.now.0)
    }

    /// For how long callers wait at most.
    fn longest_us(&self) -> u64 {
        let arrivals = self.plan.arrivals.iter().flat_map(|arrivals| arrivals.iter());
        arrivals.map(|arrival| arrival.job.give_up.0).max().unwrap_or_default()
            + RESEND_US
            + ANSWER_SLACK_US
    }

    /// When the last job comes in.
    pub(super) fn end_us(&self) -> u64 {
        BEGIN_US + self.plan.seconds * 1_000_000
    }

    /// Whether a planned stop of an entry has finished.
    pub fn has_exited(&self, node: usize) -> bool {
        self.nodes[node].exited
    }
}
