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
    /// An entry is killed and started again.
    #[display("entry {entry} is killed")]
    Kill {
        /// Which.
        entry: usize,
    },
    /// An entry stands still.
    #[display("entry {entry} stands still")]
    Freeze {
        /// Which.
        entry: usize,
    },
    /// An entry is told to stop, and started again once it has.
    #[display("entry {entry} is told to stop")]
    Terminate {
        /// Which.
        entry: usize,
    },
    /// The callers' connections to an entry are reset.
    #[display("callers' connections to entry {entry} are reset")]
    ResetCallers {
        /// Which.
        entry: usize,
    },
    /// An entry and its peers can't reach each other.
    #[display("entry {entry} is cut off from its peers")]
    CutPeers {
        /// Which.
        entry: usize,
    },
    /// What its peers send to an entry over their connections is lost, and no answer of it.
    #[display("entry {entry} does not hear its peers")]
    DeafenPeers {
        /// Which.
        entry: usize,
    },
    /// What peers and an entry send to each other takes longer.
    #[display("entry {entry} is far from its peers")]
    SlowPeers {
        /// Which.
        entry: usize,
    },
    /// An entry can't reach the store.
    #[display("entry {entry} is cut off from the store")]
    CutStore {
        /// Which.
        entry: usize,
    },
    /// What an entry asks of the store is done, and not answered.
    #[display("answers of the store to entry {entry} are held back")]
    LoseStoreAnswers {
        /// Which.
        entry: usize,
    },
    /// The store refuses all calls.
    #[display("the store is busy")]
    StoreBusy,
    /// The store does not answer.
    #[display("the store is silent")]
    StoreSilent,
    /// The store forgets its history.
    #[display("the store forgets its history")]
    StoreForgets,
    /// Orders to an executor are held back and come later.
    #[display("orders to executor {executor} are held back")]
    HoldOrders {
        /// Which.
        executor: usize,
    },
    /// An executor's answers are held back and come later.
    #[display("answers of executor {executor} are held back")]
    HoldAnswers {
        /// Which.
        executor: usize,
    },
    /// The connections to an executor are reset.
    #[display("connections to executor {executor} are reset")]
    ResetOrders {
        /// Which.
        executor: usize,
    },
    /// An executor neither acts nor answers.
    #[display("executor {executor} is dark")]
    Dark {
        /// Which.
        executor: usize,
    },
    /// An executor fails all that it starts.
    #[display("executor {executor} fails everything")]
    Fails {
        /// Which.
        executor: usize,
    },
    /// An executor takes several times as long.
    #[display("executor {executor} is slow")]
    Drags {
        /// Which.
        executor: usize,
    },
    /// The operator writes another configuration.
    #[display("the configuration changes")]
    Configure,
    /// An executor is to be emptied.
    #[display("executor {executor} is to be emptied")]
    Leave {
        /// Which.
        executor: usize,
    },
}

impl Fault {
    /// Whether it is planned work, which may cost no caller anything.
    pub fn is_planned(self) -> bool {
        matches!(self, Fault::Terminate { .. } | Fault::Configure | Fault::Leave { .. })
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
        let leaves = matches!(step.fault, Fault::Leave { .. });
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
        let fault = retarget(kind, random, size);
        steps.push(Step { at, lasts, fault });
        at += Duration::from_millis(random.random_range(SERIES_GAP_MS));
    }
}

fn draw(random: &mut ChaCha8Rng, size: &Size, planned_only: bool) -> Fault {
    let (entry, executor) = targets(random, size);
    let planned = [Fault::Terminate { entry }, Fault::Configure, Fault::Leave { executor }];
    let unplanned = [
        Fault::Kill { entry },
        Fault::Freeze { entry },
        Fault::ResetCallers { entry },
        Fault::CutPeers { entry },
        Fault::DeafenPeers { entry },
        Fault::SlowPeers { entry },
        Fault::CutStore { entry },
        Fault::LoseStoreAnswers { entry },
        Fault::StoreBusy,
        Fault::StoreSilent,
        Fault::StoreForgets,
        Fault::HoldOrders { executor },
        Fault::HoldAnswers { executor },
        Fault::ResetOrders { executor },
        Fault::Dark { executor },
        Fault::Fails { executor },
        Fault::Drags { executor },
    ];
    let kinds: Vec<Fault> = match planned_only {
        true => planned.to_vec(),
        false => planned.into_iter().chain(unplanned).collect(),
    };
    *kinds.choose(random).unwrap_or(&Fault::Configure)
}

fn targets(random: &mut ChaCha8Rng, size: &Size) -> (usize, usize) {
    (random.random_range(0..size.entries), random.random_range(0..size.executors))
}

/// The same fault elsewhere.
fn retarget(fault: Fault, random: &mut ChaCha8Rng, size: &Size) -> Fault {
    let (entry, executor) = targets(random, size);
    match fault {
        Fault::Kill { .. } => Fault::Kill { entry },
        Fault::Freeze { .. } => Fault::Freeze { entry },
        Fault::Terminate { .. } => Fault::Terminate { entry },
        Fault::ResetCallers { .. } => Fault::ResetCallers { entry },
        Fault::CutPeers { .. } => Fault::CutPeers { entry },
        Fault::DeafenPeers { .. } => Fault::DeafenPeers { entry },
        Fault::SlowPeers { .. } => Fault::SlowPeers { entry },
        Fault::CutStore { .. } => Fault::CutStore { entry },
        Fault::LoseStoreAnswers { .. } => Fault::LoseStoreAnswers { entry },
        Fault::HoldOrders { .. } => Fault::HoldOrders { executor },
        Fault::HoldAnswers { .. } => Fault::HoldAnswers { executor },
        Fault::ResetOrders { .. } => Fault::ResetOrders { executor },
        Fault::Dark { .. } => Fault::Dark { executor },
        Fault::Fails { .. } => Fault::Fails { executor },
        Fault::Drags { .. } => Fault::Drags { executor },
        Fault::Leave { .. } => Fault::Leave { executor },
        Fault::StoreBusy | Fault::StoreSilent | Fault::StoreForgets | Fault::Configure => fault,
    }
}
