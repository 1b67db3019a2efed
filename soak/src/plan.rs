//! What a seed decides: which faults come when.

use derive_more::Display;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Size and length of a play.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entries, each a process.
    pub entries: usize,
    /// Executors.
    pub executors: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// For how long faults begin.
    pub faults_for: Duration,
}

impl Default for Size {
    /// A small site: a few processes, enough callers for two thirds of its executors.
    fn default() -> Self {
        Size { entries: 4, executors: 12, callers: 24, faults_for: Duration::from_secs(14) }
    }
}

/// Something that happens to the site.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// To an entry or what stands around it.
    #[display("entry {_0} {_1}")]
    Entry(usize, EntryFault),
    /// To an executor or what stands in front of it.
    #[display("executor {_0} {_1}")]
    Executor(usize, ExecutorFault),
    /// To the store.
    #[display("the store {_0}")]
    Store(StoreFault),
    /// The operator writes another configuration.
    #[display("the configuration changes")]
    Configure,
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EntryFault {
    /// Its process is killed and another one started.
    #[display("is killed")]
    Kill,
    /// Its process stands still.
    #[display("stands still")]
    Freeze,
    /// Its process is told to stop, and another one started once it has.
    #[display("is told to stop")]
    Terminate,
    /// The callers' connections are reset.
    #[display("has its callers' connections reset")]
    ResetCallers,
    /// It and its peers can't reach each other.
    #[display("is cut off from its peers")]
    CutPeers,
    /// What its peers send over their connections is lost, but none of its answers.
    #[display("does not hear its peers")]
    DeafenPeers,
    /// What it and its peers send to each other takes longer.
    #[display("is far from its peers")]
    SlowPeers,
    /// It can't reach the store.
    #[display("is cut off from the store")]
    CutStore,
    /// What it asks of the store is done, and not answered.
    #[display("gets no answers of the store")]
    LoseStoreAnswers,
}

/// What happens to an executor.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ExecutorFault {
    /// Orders are held back and come later.
    #[display("gets its orders late")]
    HoldOrders,
    /// Its answers are held back and come later.
    #[display("has its answers held back")]
    HoldAnswers,
    /// The connections to it are reset.
    #[display("has its connections reset")]
    ResetOrders,
    /// It neither acts nor answers.
    #[display("is dark")]
    Dark,
    /// It fails all that it starts.
    #[display("fails everything")]
    Fail,
    /// It takes several times as long.
    #[display("is slow")]
    Drag,
    /// It is to be emptied.
    #[display("is to be emptied")]
    Leave,
}

/// What happens to the store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StoreFault {
    /// It refuses all calls.
    #[display("is busy")]
    Busy,
    /// It does not answer.
    #[display("is silent")]
    Silent,
    /// It forgets its history.
    #[display("forgets its history")]
    Forget,
}

impl Fault {
    /// Whether it is planned work, which may cost no caller anything.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Entry(_, EntryFault::Terminate)
                | Fault::Executor(_, ExecutorFault::Leave)
                | Fault::Configure
        )
    }
}

/// A fault at its moment.
#[derive(Clone, Copy, Debug, Display)]
#[display("{:6.2} s, for {:4.2} s: {fault}", at.as_secs_f64(), lasts.as_secs_f64())]
pub struct Step {
    /// Time since the site was ready.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
}

/// Series of faults in a play.
const SERIES: std::ops::RangeInclusive<usize> = 2..=5;

/// Steps of one series.
const SERIES_LENGTH: std::ops::RangeInclusive<usize> = 1..=4;

/// Milliseconds from one step of a series to the next.
const SERIES_GAP_MS: std::ops::RangeInclusive<u64> = 20..=2_500;

/// Milliseconds that a fault lasts.
const LASTS_MS: std::ops::RangeInclusive<u64> = 150..=4_000;

/// One play in this many has planned work only.
const PLANNED_ONLY: u32 = 4;

/// The steps that a seed decides, in order.
pub fn plan(seed: u64, size: &Size) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let planned_only = random.random_ratio(1, PLANNED_ONLY);
    let mut steps = Vec::new();
    for _ in 0..random.random_range(SERIES) {
        series(&mut random, size, planned_only, &mut steps);
    }
    steps.sort_by_key(|step| step.at);
    // A third of the executors may leave, so that the others carry the load.
    let mut left = 0;
    steps.retain(|step| {
        let leaves = matches!(step.fault, Fault::Executor(_, ExecutorFault::Leave));
        left += usize::from(leaves);
        !leaves || left <= size.executors / 3
    });
    steps
}

fn series(random: &mut ChaCha8Rng, size: &Size, planned_only: bool, steps: &mut Vec<Step>) {
    let mut at = Duration::from_millis(random.random_range(0..size.faults_for.as_millis() as u64));
    let kind = draw(random, size, planned_only);
    for _ in 0..random.random_range(SERIES_LENGTH) {
        let lasts = Duration::from_millis(random.random_range(LASTS_MS));
        let fault = aim(kind, Place::draw(random, size));
        steps.push(Step { at, lasts, fault });
        at += Duration::from_millis(random.random_range(SERIES_GAP_MS));
    }
}

/// Planned work.
const PLANNED: [Fault; 3] = [
    Fault::Entry(0, EntryFault::Terminate),
    Fault::Configure,
    Fault::Executor(0, ExecutorFault::Leave),
];

/// Everything else.
const UNPLANNED: [Fault; 17] = [
    Fault::Entry(0, EntryFault::Kill),
    Fault::Entry(0, EntryFault::Freeze),
    Fault::Entry(0, EntryFault::ResetCallers),
    Fault::Entry(0, EntryFault::CutPeers),
    Fault::Entry(0, EntryFault::DeafenPeers),
    Fault::Entry(0, EntryFault::SlowPeers),
    Fault::Entry(0, EntryFault::CutStore),
    Fault::Entry(0, EntryFault::LoseStoreAnswers),
    Fault::Store(StoreFault::Busy),
    Fault::Store(StoreFault::Silent),
    Fault::Store(StoreFault::Forget),
    Fault::Executor(0, ExecutorFault::HoldOrders),
    Fault::Executor(0, ExecutorFault::HoldAnswers),
    Fault::Executor(0, ExecutorFault::ResetOrders),
    Fault::Executor(0, ExecutorFault::Dark),
    Fault::Executor(0, ExecutorFault::Fail),
    Fault::Executor(0, ExecutorFault::Drag),
];

/// Which entry and executor a fault concerns.
#[derive(Clone, Copy)]
struct Place {
    entry: usize,
    executor: usize,
}

impl Place {
    fn draw(random: &mut ChaCha8Rng, size: &Size) -> Self {
        Self {
            entry: random.random_range(0..size.entries),
            executor: random.random_range(0..size.executors),
        }
    }
}

fn draw(random: &mut ChaCha8Rng, size: &Size, planned_only: bool) -> Fault {
    let place = Place::draw(random, size);
    let kinds: Vec<Fault> = match planned_only {
        true => PLANNED.to_vec(),
        false => PLANNED.into_iter().chain(UNPLANNED).collect(),
    };
    aim(*kinds.choose(random).unwrap_or(&Fault::Configure), place)
}

/// The same fault elsewhere.
fn aim(fault: Fault, place: Place) -> Fault {
    match fault {
        Fault::Entry(_, what) => Fault::Entry(place.entry, what),
        Fault::Executor(_, what) => Fault::Executor(place.executor, what),
        Fault::Store(_) | Fault::Configure => fault,
    }
}
