//! Derives the faults of a play and their times from a seed.

use crate::{caller::BUSY_ENTRY, document::JOB_KINDS, site::data_centre};
use derive_more::Display;
use rand::{
    Rng, SeedableRng,
    seq::{IndexedRandom, index::sample},
};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Size and length of a play.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of entries, each a process.
    pub entries: usize,
    /// Number of executors.
    pub executors: usize,
    /// Number of callers, each with one request at a time.
    pub callers: usize,
    /// Length of the time in which faults begin.
    pub faults_for: Duration,
}

impl Default for Size {
    /// Returns a small site: a few processes, and enough callers to load two thirds of the
    /// executors.
    fn default() -> Self {
        Size { entries: 4, executors: 12, callers: 24, faults_for: Duration::from_secs(14) }
    }
}

/// A fault, with the index of the entry or executor that it affects.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// Affects an entry or its connections.
    #[display("entry {_0} {_1}")]
    Entry(usize, EntryFault),
    /// Affects an executor or the connections to it.
    #[display("executor {_0} {_1}")]
    Executor(usize, ExecutorFault),
    /// Affects the store.
    #[display("the store {_0}")]
    Store(StoreFault),
    /// The operator writes another configuration.
    #[display("the configuration changes")]
    Configure,
    /// Additional callers submit jobs of one kind, by its index.
    #[display("jobs of kind {_0} surge")]
    Surge(usize),
}

/// Fault of an entry.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EntryFault {
    /// Its process is killed and another one started.
    #[display("is killed")]
    Kill,
    /// Its process is killed, and another one is started only after its executors had to be taken
    /// over.
    #[display("is killed and stays away")]
    Lose,
    /// Its process is suspended.
    #[display("is suspended")]
    Freeze,
    /// The same, and for a while longer it does not see that callers have left.
    #[display("is suspended, and sees late that callers have left")]
    FreezeUnnoticed,
    /// Its process gets SIGTERM, and another one is started once it has ended.
    #[display("gets SIGTERM")]
    Terminate,
    /// The callers' connections are reset.
    #[display("has its callers' connections reset")]
    ResetCallers,
    /// It and its peers can't reach each other.
    #[display("is cut off from its peers")]
    CutPeers,
    /// On connections that its peers opened, datagrams from the peers are lost, those to them are
    /// not.
    #[display("receives nothing from its peers")]
    DeafenPeers,
    /// Datagrams between it and its peers are delayed.
    #[display("has delayed connections to its peers")]
    SlowPeers,
    /// It can't reach the store.
    #[display("is cut off from the store")]
    CutStore,
    /// The store carries out its requests, but the responses are blocked.
    #[display("gets no responses from the store")]
    LoseStoreAnswers,
}

/// Fault of an executor.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ExecutorFault {
    /// Orders to it are blocked and arrive later.
    #[display("gets its orders late")]
    HoldOrders,
    /// Its responses are blocked and arrive later.
    #[display("has its responses delayed")]
    HoldAnswers,
    /// The connections to it are reset.
    #[display("has its connections reset")]
    ResetOrders,
    /// It neither carries out orders nor responds. Its tasks run on while its lease lasts.
    #[display("is unresponsive")]
    Dark,
    /// It fails all tasks that it starts.
    #[display("fails everything")]
    Fail,
    /// Its tasks take several times as long.
    #[display("is slow")]
    Drag,
    /// It crashes and returns as a new incarnation at the same address. Its registration stays
    /// until it expires or is replaced.
    #[display("crashes")]
    Crash,
    /// It is marked as leaving.
    #[display("is leaving")]
    Leave,
    /// It lets a part of the tasks hang that it starts.
    #[display("hangs a part of its tasks")]
    Hang,
    /// It leaves a part of its orders unanswered and carries them out seconds later.
    #[display("leaves orders unanswered")]
    LoseOrders,
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StoreFault {
    /// It rejects all requests.
    #[display("is busy")]
    Busy,
    /// It does not respond.
    #[display("is unresponsive")]
    Silent,
    /// It loses its history of changes, so that clients have to list its keys again.
    #[display("forgets its history")]
    Forget,
}

impl Fault {
    /// Returns whether all guarantees hold during it: planned work and surges, in which jobs are
    /// refused.
    pub fn is_ordinary(self) -> bool {
        matches!(
            self,
            Fault::Entry(_, EntryFault::Terminate)
                | Fault::Executor(_, ExecutorFault::Leave)
                | Fault::Configure
                | Fault::Surge(_)
        )
    }
}

/// How the incarnations of an executor are named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Naming {
    /// Each has a name of its own.
    Distinct,
    /// All have the same name and differ in their start time.
    Shared,
}

/// Whether the executors differ in speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Speed {
    /// All are of one kind and equally fast.
    Alike,
    /// A third is of a kind that is slower than estimates say, the others are of one that is faster.
    ByKind,
}

/// What the executors of a play have in common.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// How their incarnations are named.
    pub naming: Naming,
    /// Whether they differ in speed.
    pub speed: Speed,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, Display)]
#[display("{:6.2} s, for {:4.2} s: {fault}", at.as_secs_f64(), duration.as_secs_f64())]
pub struct Step {
    /// Time from the end of the warm-up until it begins.
    pub at: Duration,
    /// How long it lasts; without effect on faults that are over at once.
    pub duration: Duration,
    /// Kind of fault and its target.
    pub fault: Fault,
}

/// Number of series of faults in a play.
const SERIES_COUNT: std::ops::RangeInclusive<usize> = 2..=5;

/// Number of steps of one series.
const SERIES_LENGTH: std::ops::RangeInclusive<usize> = 1..=4;

/// Time in milliseconds from one step of a series to the next.
const SERIES_GAP_MS: std::ops::RangeInclusive<u64> = 20..=2_500;

/// Duration of a fault in milliseconds.
const DURATION_MS: std::ops::RangeInclusive<u64> = 150..=4_000;

/// Number of series of crashes of executors in a play that has them.
const CRASH_SERIES_COUNT: std::ops::RangeInclusive<usize> = 1..=3;

/// Number of crashes of one series.
const CRASH_SERIES_LENGTH: std::ops::RangeInclusive<usize> = 2..=8;

/// Time in milliseconds from one crash of a series to the next: in half of the series a machine
/// or a rack fails, and executors crash almost at once.
const CRASH_GAPS_MS: [std::ops::RangeInclusive<u64>; 2] = [20..=900, 1..=60];

/// Time in milliseconds until a crashed executor returns.
const CRASH_DURATION_MS: std::ops::RangeInclusive<u64> = 300..=1_500;

/// Plans of lower seeds have no crashes of executors, so that seeds that were kept before this fault
/// existed still have the same plan.
const FIRST_SEED_WITH_CRASHES: u64 = 10_000;

/// Number of entries that are lost in a play that has such faults.
const LOSS_COUNT: std::ops::RangeInclusive<usize> = 1..=2;

/// Time in milliseconds until a lost entry is started again: above the 1.2 s within which its
/// executors are in use again.
const LOSS_DURATION_MS: std::ops::RangeInclusive<u64> = 1_500..=4_000;

/// Plans of lower seeds lose no entry for that long, so that they stay what they were.
const FIRST_SEED_WITH_LOSSES: u64 = 30_000;

/// Duration of a surge in milliseconds: beyond the time after which a lost entry's executors are in
/// use again.
const SURGE_DURATION_MS: std::ops::RangeInclusive<u64> = 4_000..=8_000;

/// Time in milliseconds from the beginning of a surge until an entry is killed in it: jobs are being
/// refused by then.
const SURGE_LOSS_DELAY_MS: std::ops::RangeInclusive<u64> = 1_000..=2_500;

/// Duration in milliseconds for which executors hang a part of their tasks.
const HANG_DURATION_MS: std::ops::RangeInclusive<u64> = 3_000..=6_000;

/// Of this many executors one hangs a part of its tasks, at least one in all.
const HANG_ONE_IN: usize = 6;

/// Plans of lower seeds have no surges, no partial failures and executors of one speed, so that they
/// stay what they were.
const FIRST_SEED_WITH_SURGES: u64 = 40_000;

/// Duration in milliseconds for which executors leave orders unanswered: a stop, its repetitions, and
/// the next submission of the caller.
const ORDER_LOSS_MS: u64 = 5_500;

/// Time in milliseconds from then until an entry is killed, and from one such kill to the next.
const ORDER_LOSS_KILL_MS: std::ops::RangeInclusive<u64> = 300..=1_500;

/// Number of kills while orders are lost.
const ORDER_LOSS_KILLS: std::ops::RangeInclusive<usize> = 1..=2;

/// Duration in milliseconds for which entries are cut off from the store while others are rolled.
/// Beyond the stops and starts of a data centre.
const TURNED_AWAY_MS: u64 = 9_000;

/// Of this many entries one is cut off, at least one in all.
const TURNED_AWAY_ONE_IN: usize = 3;

/// Time in milliseconds until the first of the others is stopped: registrations have lapsed by then.
const ROLL_DELAY_MS: std::ops::RangeInclusive<u64> = 2_300..=3_000;

/// Time in milliseconds from one planned stop to the next.
const ROLL_GAP_MS: std::ops::RangeInclusive<u64> = 900..=1_300;

/// Plans of lower seeds have no long tasks, lose no orders, and cut no entry off from the store while
/// others are rolled, so that they stay what they were.
const FIRST_SEED_WITH_LONG_TASKS: u64 = 50_000;

/// Rounds of one suspended entry, of which the busy entry is killed in the suspension and the other one
/// after it.
const SUSPENDED_KILLS: std::ops::RangeInclusive<usize> = 1..=3;

/// How long the entry is suspended, in milliseconds. Shorter than the silence after which an entry is
/// considered lost.
const SUSPENSION_MS: std::ops::RangeInclusive<u64> = 150..=480;

/// Time in milliseconds from the kill of the busy entry until that of the other one.
const SECOND_KILL_MS: std::ops::RangeInclusive<u64> = 500..=900;

/// Time in milliseconds from one of these rounds to the next: callers have come again.
const SUSPENDED_KILL_GAP_MS: std::ops::RangeInclusive<u64> = 2_500..=4_000;

/// Plans of lower seeds kill no entry while another one is suspended on purpose, so that they stay what
/// they were.
const FIRST_SEED_WITH_SUSPENDED_KILLS: u64 = 60_000;

/// How long an entry is suspended that sees late that callers have left, in milliseconds: beyond the time
/// after which they come again to another entry.
const UNNOTICED_MS: std::ops::RangeInclusive<u64> = 2_600..=4_000;

/// Number of such suspensions.
const UNNOTICED_COUNT: std::ops::RangeInclusive<usize> = 2..=3;

/// Time in milliseconds from one of them to the next.
const UNNOTICED_GAP_MS: std::ops::RangeInclusive<u64> = 5_000..=6_000;

/// Plans of lower seeds have no such suspensions and no callers of brief jobs, so that they stay what
/// they were. Those from here on have neither surges, long tasks nor further kills: too few brief jobs
/// would be sent to a suspended entry.
const FIRST_SEED_WITH_BRIEF_JOBS: u64 = 70_000;

/// Executors differ in speed in one play in this many of those with surges.
const UNEVEN_ONE_IN: u32 = 2;

/// One play in this many has planned faults only.
const PLANNED_ONLY_ONE_IN: u32 = 4;

/// Incarnations share a name in one play in this many of those with crashes.
const SHARED_NAMES_ONE_IN: u32 = 3;

/// Returns what the executors have in common in the play of a seed.
pub fn fleet(seed: u64) -> Fleet {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // A stream of its own, since `plan` draws from the first.
    random.set_stream(1);
    let naming =
        match seed >= FIRST_SEED_WITH_CRASHES && random.random_ratio(1, SHARED_NAMES_ONE_IN) {
            true => Naming::Shared,
            false => Naming::Distinct,
        };
    let speed = match seed >= FIRST_SEED_WITH_SURGES && random.random_ratio(1, UNEVEN_ONE_IN) {
        true => Speed::ByKind,
        false => Speed::Alike,
    };
    Fleet { naming, speed }
}

/// Returns whether some callers submit jobs of long tasks in the play of a seed.
pub fn has_long_tasks(seed: u64) -> bool {
    (FIRST_SEED_WITH_LONG_TASKS..FIRST_SEED_WITH_BRIEF_JOBS).contains(&seed)
}

/// Returns whether some callers submit jobs for which they wait briefly, in the play of a seed.
pub fn has_brief_jobs(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_BRIEF_JOBS
}

/// Returns the steps of a seed, in order of time.
pub fn plan(seed: u64, size: &Size) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let planned_only = random.random_ratio(1, PLANNED_ONLY_ONE_IN);
    let mut steps = Vec::new();
    for _ in 0..random.random_range(SERIES_COUNT) {
        push_series(&mut random, size, planned_only, &mut steps);
    }
    if seed >= FIRST_SEED_WITH_CRASHES && !planned_only {
        for _ in 0..random.random_range(CRASH_SERIES_COUNT) {
            push_crashes(&mut random, size, &mut steps);
        }
    }
    if has_brief_jobs(seed) {
        push_unnoticed(&mut random, &mut steps);
        return in_order(steps, size);
    }
    if seed >= FIRST_SEED_WITH_LOSSES && !planned_only {
        push_losses(&mut random, size, &mut steps);
    }
    if seed >= FIRST_SEED_WITH_SURGES {
        push_surge(&mut random, size, planned_only, &mut steps);
        if !planned_only {
            push_hangs(&mut random, size, &mut steps);
        }
    }
    if has_long_tasks(seed) && !planned_only {
        push_order_losses(&mut random, size, &mut steps);
        push_rolls(&mut random, size, &mut steps);
    }
    if seed >= FIRST_SEED_WITH_SUSPENDED_KILLS && !planned_only {
        push_suspended_kills(&mut random, size, &mut steps);
    }
    in_order(steps, size)
}

/// Sorts the steps by time, and leaves out those of too many executors that leave.
fn in_order(mut steps: Vec<Step>, size: &Size) -> Vec<Step> {
    steps.sort_by_key(|step| step.at);
    // At most a third of the executors may leave, so that the others can carry the load.
    let mut left = 0;
    steps.retain(|step| {
        let leaves = matches!(step.fault, Fault::Executor(_, ExecutorFault::Leave));
        left += usize::from(leaves);
        !leaves || left <= size.executors / 3
    });
    steps
}

fn push_series(random: &mut ChaCha8Rng, size: &Size, planned_only: bool, steps: &mut Vec<Step>) {
    let mut at = Duration::from_millis(random.random_range(0..size.faults_for.as_millis() as u64));
    let kind = draw_fault(random, size, planned_only);
    for _ in 0..random.random_range(SERIES_LENGTH) {
        let duration = Duration::from_millis(random.random_range(DURATION_MS));
        let fault = retarget(kind, Target::draw(random, size));
        steps.push(Step { at, duration, fault });
        at += Duration::from_millis(random.random_range(SERIES_GAP_MS));
    }
}

fn push_crashes(random: &mut ChaCha8Rng, size: &Size, steps: &mut Vec<Step>) {
    let mut at = Duration::from_millis(random.random_range(0..size.faults_for.as_millis() as u64));
    let gaps_ms = CRASH_GAPS_MS.choose(random).unwrap_or(&CRASH_GAPS_MS[0]).clone();
    for _ in 0..random.random_range(CRASH_SERIES_LENGTH) {
        let duration = Duration::from_millis(random.random_range(CRASH_DURATION_MS));
        let executor = random.random_range(0..size.executors);
        steps.push(Step { at, duration, fault: Fault::Executor(executor, ExecutorFault::Crash) });
        at += Duration::from_millis(random.random_range(gaps_ms.clone()));
    }
}

/// Kills entries while callers keep the executors busy, for longer than a takeover takes.
fn push_losses(random: &mut ChaCha8Rng, size: &Size, steps: &mut Vec<Step>) {
    for _ in 0..random.random_range(LOSS_COUNT) {
        let at = random.random_range(0..size.faults_for.as_millis() as u64);
        let duration = Duration::from_millis(random.random_range(LOSS_DURATION_MS));
        let fault = Fault::Entry(random.random_range(0..size.entries), EntryFault::Lose);
        steps.push(Step { at: Duration::from_millis(at), duration, fault });
    }
}

/// Lets jobs of one kind surge, and kills an entry meanwhile unless only planned faults are allowed.
fn push_surge(random: &mut ChaCha8Rng, size: &Size, planned_only: bool, steps: &mut Vec<Step>) {
    let at = Duration::from_millis(random.random_range(0..size.faults_for.as_millis() as u64));
    let duration = Duration::from_millis(random.random_range(SURGE_DURATION_MS));
    let kind = random.random_range(0..JOB_KINDS.len());
    steps.push(Step { at, duration, fault: Fault::Surge(kind) });
    if !planned_only {
        let at = at + Duration::from_millis(random.random_range(SURGE_LOSS_DELAY_MS));
        let duration = Duration::from_millis(random.random_range(LOSS_DURATION_MS));
        let fault = Fault::Entry(random.random_range(0..size.entries), EntryFault::Lose);
        steps.push(Step { at, duration, fault });
    }
}

/// Lets several executors hang a part of their tasks at the same time.
fn push_hangs(random: &mut ChaCha8Rng, size: &Size, steps: &mut Vec<Step>) {
    let at = Duration::from_millis(random.random_range(0..size.faults_for.as_millis() as u64));
    let duration = Duration::from_millis(random.random_range(HANG_DURATION_MS));
    let count = (size.executors / HANG_ONE_IN).max(1);
    for executor in sample(random, size.executors, count) {
        steps.push(Step { at, duration, fault: Fault::Executor(executor, ExecutorFault::Hang) });
    }
}

/// Kills the entry that is the home of most long tasks while all executors leave orders unanswered.
fn push_order_losses(random: &mut ChaCha8Rng, size: &Size, steps: &mut Vec<Step>) {
    let mut at = draw_time(random, size);
    let duration = Duration::from_millis(ORDER_LOSS_MS);
    for executor in 0..size.executors {
        let fault = Fault::Executor(executor, ExecutorFault::LoseOrders);
        steps.push(Step { at, duration, fault });
    }
    for _ in 0..random.random_range(ORDER_LOSS_KILLS) {
        at += Duration::from_millis(random.random_range(ORDER_LOSS_KILL_MS));
        let fault = Fault::Entry(BUSY_ENTRY, EntryFault::Kill);
        steps.push(Step { at, duration, fault });
    }
}

/// Cuts entries of one data centre, that of the busy entry, off from the store and stops the others in
/// turn, so that new processes take executors over without knowing the homes of the runs there.
fn push_rolls(random: &mut ChaCha8Rng, size: &Size, steps: &mut Vec<Step>) {
    let mut at = draw_time(random, size);
    let of_first = |entry: &usize| data_centre(*entry) == data_centre(BUSY_ENTRY);
    let (first, others): (Vec<_>, Vec<_>) = (0..size.entries).partition(of_first);
    let duration = Duration::from_millis(TURNED_AWAY_MS);
    for entry in first.into_iter().take((size.entries / TURNED_AWAY_ONE_IN).max(1)) {
        steps.push(Step { at, duration, fault: Fault::Entry(entry, EntryFault::CutStore) });
    }
    at += Duration::from_millis(random.random_range(ROLL_DELAY_MS));
    for entry in others {
        steps.push(Step { at, duration, fault: Fault::Entry(entry, EntryFault::Terminate) });
        at += Duration::from_millis(random.random_range(ROLL_GAP_MS));
    }
}

/// Kills the home of most long tasks while an entry that keeps some of their runs is suspended, and that
/// one soon after it goes on.
fn push_suspended_kills(random: &mut ChaCha8Rng, size: &Size, steps: &mut Vec<Step>) {
    let mut at = draw_time(random, size);
    for _ in 0..random.random_range(SUSPENDED_KILLS) {
        let keeper = (BUSY_ENTRY + random.random_range(1..size.entries.max(2))) % size.entries;
        let suspension = random.random_range(SUSPENSION_MS);
        let until_kill = Duration::from_millis(random.random_range(10..suspension));
        let until_second = Duration::from_millis(random.random_range(SECOND_KILL_MS));
        let duration = Duration::from_millis(suspension);
        let times = [
            (at, keeper, EntryFault::Freeze),
            (at + until_kill, BUSY_ENTRY, EntryFault::Kill),
            (at + until_kill + until_second, keeper, EntryFault::Kill),
        ];
        let step = |(at, entry, fault)| Step { at, duration, fault: Fault::Entry(entry, fault) };
        steps.extend(times.map(step));
        at += Duration::from_millis(random.random_range(SUSPENDED_KILL_GAP_MS));
    }
}

/// Suspends the busy entry while callers give up and submit their jobs again, and lets their leaving be seen
/// late.
fn push_unnoticed(random: &mut ChaCha8Rng, steps: &mut Vec<Step>) {
    let mut at = Duration::ZERO;
    for _ in 0..random.random_range(UNNOTICED_COUNT) {
        let duration = Duration::from_millis(random.random_range(UNNOTICED_MS));
        let fault = Fault::Entry(BUSY_ENTRY, EntryFault::FreezeUnnoticed);
        steps.push(Step { at, duration, fault });
        at += Duration::from_millis(random.random_range(UNNOTICED_GAP_MS));
    }
}

fn draw_time(random: &mut ChaCha8Rng, size: &Size) -> Duration {
    Duration::from_millis(random.random_range(0..size.faults_for.as_millis() as u64))
}

/// Faults that an operator causes on purpose. The index is a placeholder.
const PLANNED_FAULTS: [Fault; 3] = [
    Fault::Entry(0, EntryFault::Terminate),
    Fault::Configure,
    Fault::Executor(0, ExecutorFault::Leave),
];

/// All other faults. The index is a placeholder.
const UNPLANNED_FAULTS: [Fault; 17] = [
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

/// Entry and executor that a fault affects.
#[derive(Clone, Copy)]
struct Target {
    entry: usize,
    executor: usize,
}

impl Target {
    fn draw(random: &mut ChaCha8Rng, size: &Size) -> Self {
        Self {
            entry: random.random_range(0..size.entries),
            executor: random.random_range(0..size.executors),
        }
    }
}

fn draw_fault(random: &mut ChaCha8Rng, size: &Size, planned_only: bool) -> Fault {
    let target = Target::draw(random, size);
    let kinds: Vec<Fault> = match planned_only {
        true => PLANNED_FAULTS.to_vec(),
        false => PLANNED_FAULTS.into_iter().chain(UNPLANNED_FAULTS).collect(),
    };
    retarget(*kinds.choose(random).unwrap_or(&Fault::Configure), target)
}

/// Returns the same fault with another target.
fn retarget(fault: Fault, target: Target) -> Fault {
    match fault {
        Fault::Entry(_, what) => Fault::Entry(target.entry, what),
        Fault::Executor(_, what) => Fault::Executor(target.executor, what),
        Fault::Store(_) | Fault::Configure | Fault::Surge(_) => fault,
    }
}
