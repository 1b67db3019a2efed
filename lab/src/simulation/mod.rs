//! Simulates a site of entries, executors and callers in virtual time. It panics when an invariant
//! is violated: no task runs twice at the same time, no refused job ever runs, each caller gets one
//! answer in time, and a job is answered as completed only when all its tasks are.

mod arrival;
mod callers;
mod cordons;
mod faults;
mod layout;
mod nodes;
mod orders;
mod plan;
mod traffic;

pub use arrival::{Arrival, Outcome, Record};
pub use layout::service;
pub use plan::{DataCentre, Fault, JobKind, Machine, Plan};
pub use traffic::{PlacedFar, Traffic};

use ::arrival::Rounds;
use compact_str::CompactString;
use layout::{capacity, executor, home};
use nodes::clocks;
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

/// One-way delay of a message or an order.
const NETWORK_DELAY_US: u64 = 1_000;
/// One-way delay between a caller and an entry.
const CALLER_DELAY_US: u64 = 3_000;
/// A peer that is unresponsive for this long counts as disconnected.
const PEER_TIMEOUT_US: u64 = 800_000;

/// Time until an entry finds that a peer acknowledges nothing.
const PEER_RESPONSE_TIMEOUT_US: u64 = 200_000;
/// An order without a response fails after this time.
const ORDER_TIMEOUT_US: u64 = 300_000;
/// Delay until a caller submits its job again after a lost connection.
const RESEND_DELAY_US: u64 = 1_300_000;
/// Time from the end of a caller's wait, or from the end of a pause of its entry, until the entry sees
/// that the caller has left.
const LEAVE_DELAY_US: u64 = 500_000;
/// How long a registration remains after the end of its process.
const REGISTRATION_TTL_US: u64 = 2_000_000;
/// Microseconds of a second: the unit of `Retry-After`.
const SECOND_US: u64 = 1_000_000;
/// Time of the first job.
const FIRST_JOB_US: u64 = 3_000_000;
/// How much later than the job's give-up time an answer may be.
const ANSWER_TOLERANCE_US: u64 = 100_000;

struct Node {
    home: Home,
    entry: Option<Entry>,
    frozen_until: Time,
    cut_until: Time,
    blind_until: Time,
    /// Until when the store turns it away.
    turned_away_until: Time,
    listed: bool,
    /// In which its process reads requests.
    rounds: Rounds,
    exited: bool,
    /// Whether it is started again once it has exited.
    is_rolled: bool,
}

struct Slot {
    executor: Executor,
    fake: ExecutorState,
    incarnation: u32,
    /// Part of the tasks started from now on that hang.
    hang_percent: u32,
}

struct Caller {
    node: usize,
    submitted: Time,
    job: Job,
    /// Index of its arrival; `None` for a generated job.
    arrival: Option<usize>,
    answered: bool,
    left: bool,
}

/// Run times and needs of a job's tasks.
struct Work {
    lengths: Vec<Span>,
    needs: Resources,
}

#[derive(Debug)]
enum Step {
    HandleEvent(usize, Incarnation, Event),
    Deliver {
        from: Home,
        to: usize,
        message: Message,
    },
    Order(usize, Incarnation, Order),
    Submit,
    Arrive(usize),
    Resubmit(Job, Option<usize>),
    /// A caller's wait is over.
    GiveUp(u64),
    Tick(usize, Incarnation),
    BeginFault(Fault),
    EndFault(Fault),
    Restart(usize),
    ExpireRegistration(usize, Incarnation),
    Unresponsive(usize, Home),
    LinkDown(usize, Home),
    LinkUp(usize, usize),
    ReplaceExecutor(usize),
}

/// Whether an order has reached its executor. It may be lost only before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    InTransit,
    Arrived,
}

#[derive(Clone, Debug)]
enum Order {
    Start(Start),
    Stop {
        executor: EndpointId,
        run: Run,
        token: u64,
    },
    /// With the time until which the executor holds its response back.
    Poll(Poll, Time, Progress),
}

/// A simulated site in virtual time.
pub struct Simulation {
    /// The current virtual time.
    pub now: Time,
    plan: Plan,
    random: ChaCha8Rng,
    steps: BinaryHeap<Reverse<(Time, u64)>>,
    content: BTreeMap<u64, Step>,
    next: u64,
    nodes: Vec<Node>,
    slots: Vec<Slot>,
    links: BTreeSet<(Home, Home)>,
    /// Pairs of entries that can't reach each other, the lower index first, and until when.
    cut_links: BTreeMap<(usize, usize), Time>,
    /// The entry that last reported each executor as ready, by the executor's name.
    keepers: FxHashMap<CompactString, usize>,
    /// Executors whose keeper was killed or frozen, and when.
    unkept_since: FxHashMap<CompactString, Time>,
    callers: BTreeMap<u64, Caller>,
    revision: u64,
    /// Data centres under cordon, each with the time since when.
    cordons: BTreeMap<usize, Time>,
    next_job: u64,
    /// Number of task starts by job name.
    started: BTreeMap<String, u64>,
    refused: BTreeSet<String>,
    /// Jobs whose caller lost its connection.
    broken: BTreeSet<String>,
    done: BTreeSet<(String, u16)>,
    works: FxHashMap<CompactString, Work>,
    /// Result of each arrival; empty for generated jobs.
    pub records: Vec<Record>,
    /// Number of answers by kind: `completed`, `failed`, `given-up`, `refused`.
    pub answers: BTreeMap<&'static str, u64>,
    /// Number of tasks that executors have started.
    pub starts: u64,
    /// Work of these tasks in thousandths of a core times microseconds.
    pub begun_work: u64,
    /// Number of capacity reports that entries sent to each other while jobs arrived.
    pub reports: u64,
    /// What entries did with tasks and sent to each other while jobs arrived.
    pub traffic: Traffic,
    /// What homes sent to other data centres, in order.
    pub placed_far: Vec<PlacedFar>,
    /// For each executor whose keeper was killed or frozen, the time until it was in use again.
    pub unkept: Vec<Span>,
    /// How often an entry found that another one holds an executor with a higher token.
    pub fences: usize,
    /// Number of jobs of arrivals submitted in each second since the first, retries included.
    pub submissions: BTreeMap<u64, u64>,
}

impl Simulation {
    /// Returns a site whose first job arrives at three seconds. `seed` determines all random
    /// choices.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..plan.entry_count()).map(|index| Node {
            home: home(&plan, index, random.random()),
            entry: None,
            frozen_until: Time(0),
            cut_until: Time(0),
            blind_until: Time(0),
            turned_away_until: Time(0),
            listed: false,
            rounds: Rounds::new(clocks(Time(0))),
            exited: false,
            is_rolled: false,
        });
        let nodes = nodes.collect();
        let slots = (0..plan.executor_count()).map(|index| Slot {
            executor: executor(&plan, index, 0),
            fake: ExecutorState::new(
                capacity(&plan, index),
                [0, 10, 20][index % 3],
                random.random_range(0..1_000_000),
            ),
            incarnation: 0,
            hang_percent: 0,
        });
        let slots = slots.collect();
        let mut simulation = Self {
            now: Time(1_000_000),
            plan,
            random,
            steps: BinaryHeap::new(),
            content: BTreeMap::new(),
            next: 0,
            nodes,
            slots,
            links: BTreeSet::new(),
            cut_links: BTreeMap::new(),
            keepers: FxHashMap::default(),
            unkept_since: FxHashMap::default(),
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
            traffic: Traffic::default(),
            placed_far: Vec::new(),
            unkept: Vec::new(),
            fences: 0,
            submissions: BTreeMap::new(),
        };
        for node in 0..simulation.nodes.len() {
            simulation.start_entry(node);
        }
        simulation.schedule_arrivals();
        for (ms, fault) in simulation.plan.faults.clone() {
            simulation.at(Time(FIRST_JOB_US + ms * 1_000), Step::BeginFault(fault));
        }
        simulation
    }

    /// Runs the simulation, and some time after the last arrival so that all jobs can end.
    ///
    /// # Panics
    ///
    /// When an invariant is violated.
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
            Step::HandleEvent(node, incarnation, event) => {
                if self.nodes[node].home.incarnation == incarnation {
                    self.handle_event(node, event);
                }
            }
            Step::Tick(node, incarnation) => {
                if self.nodes[node].home.incarnation == incarnation && self.is_up(node) {
                    self.begin_round(node);
                    self.handle_event(node, Event::Tick);
                    self.after(TICK.0, Step::Tick(node, incarnation));
                }
            }
            Step::Deliver { from, to, message } => {
                if self.links.contains(&(from, self.nodes[to].home)) {
                    self.handle_event(to, Event::Message { from, message });
                }
            }
            Step::Order(node, incarnation, order) => self.order(node, incarnation, order),
            Step::Submit => self.submit_generated(),
            Step::Arrive(arrival) => self.arrive(arrival),
            Step::Resubmit(job, arrival) => self.submit(job, arrival),
            Step::GiveUp(waiter) => self.end_wait(waiter),
            Step::BeginFault(fault) => self.begin_fault(fault),
            Step::EndFault(fault) => self.end_fault(fault),
            Step::Restart(node) => self.start_entry(node),
            Step::ExpireRegistration(node, incarnation) => {
                let is_gone = !self.is_up(node) || self.is_turned_away(node);
                if self.nodes[node].home.incarnation == incarnation && is_gone {
                    self.nodes[node].listed = false;
                    self.publish_members();
                }
            }
            Step::Unresponsive(node, peer) => {
                if self.links.contains(&(peer, self.nodes[node].home)) {
                    self.handle_event(node, Event::PeerUnresponsive { peer });
                }
            }
            Step::LinkDown(node, peer) => {
                let me = self.nodes[node].home;
                if self.links.remove(&(peer, me)) {
                    self.handle_event(node, Event::PeerDown { peer });
                }
            }
            Step::LinkUp(a, b) => self.link(a, b),
            Step::ReplaceExecutor(slot) => {
                let incarnation = self.slots[slot].incarnation + 1;
                let offset = self.random.random_range(0..1_000_000);
                self.slots[slot] = Slot {
                    executor: executor(&self.plan, slot, incarnation),
                    fake: ExecutorState::new(capacity(&self.plan, slot), 10, offset),
                    incarnation,
                    hang_percent: 0,
                };
                self.publish_executors();
            }
        }
    }

    /// Returns whether jobs are arriving.
    fn is_busy(&self) -> bool {
        (FIRST_JOB_US..self.end_us()).contains(&self.now.0)
    }

    /// Returns the longest time that a caller waits.
    fn longest_us(&self) -> u64 {
        let arrivals = self.plan.arrivals.iter().flat_map(|arrivals| arrivals.iter());
        let of_arrivals = arrivals.map(|arrival| arrival.job.give_up.0).max();
        let longest = self.plan.kinds.iter().map(|kind| kind.ms * 1_000).max().unwrap_or_default();
        let of_generated = callers::objective(longest * callers::MAX_ESTIMATE_PERCENT / 100).0 * 3;
        of_arrivals.unwrap_or(of_generated) + RESEND_DELAY_US + ANSWER_TOLERANCE_US
    }

    /// Returns the time after which no job arrives.
    pub(super) fn end_us(&self) -> u64 {
        FIRST_JOB_US + self.plan.seconds * 1_000_000
    }

    /// Returns the number of executors that an entry was the last to begin to use.
    pub fn kept_by(&self, node: usize) -> usize {
        self.keepers.values().filter(|keeper| **keeper == node).count()
    }

    /// Returns whether a planned stop of an entry has finished.
    pub fn has_exited(&self, node: usize) -> bool {
        self.nodes[node].exited
    }
}
