//! Estimates of the resources and run times of tasks, learnt from measurements.

use crate::track::{MIN_OBSERVATIONS, Statistic, Track};
use rustc_hash::FxHashMap;
use site::{
    id::{FirmId, ServiceId},
    unit::{Cores, Memory, Resources, Span},
};

/// Quantile of processor use that is reserved. It covers most tasks; a task that needs more is only
/// throttled.
const CORES_QUANTILE: f32 = 0.9;
/// Quantile of memory use that is reserved. It covers nearly all tasks, since a task that needs
/// more is killed.
const MEMORY_QUANTILE: f32 = 0.99;
/// Base-2 logarithms of the values where the histograms begin: 256 us, 4 thousandths of a core,
/// 512 KiB.
const RUN_TIME_MIN_LOG2: f32 = 8.0;
const CORES_MIN_LOG2: f32 = 2.0;
const MEMORY_MIN_LOG2: f32 = 19.0;
/// Reserved for a task on a worker that declares nothing and whose kind has no measurements.
const DEFAULT_CORES: Cores = Cores(1_000);
const DEFAULT_MEMORY: Memory = Memory(256 << 20);
/// Minimum that is reserved for a task on a worker.
const MIN_CORES: Cores = Cores(50);
const MIN_MEMORY: Memory = Memory(16 << 20);

/// Identifies tasks that are expected to need the same.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKind {
    /// The firm that submits the tasks.
    pub firm: FirmId,
    /// The service that runs them.
    pub service: ServiceId,
}

/// Measurements of one kind of task.
struct Tracks {
    run_time: Track,
    cores: Track,
    memory: Track,
}

impl Default for Tracks {
    fn default() -> Self {
        Self {
            run_time: Track::new(RUN_TIME_MIN_LOG2, Statistic::Mean),
            cores: Track::new(CORES_MIN_LOG2, Statistic::Quantile(CORES_QUANTILE)),
            memory: Track::new(MEMORY_MIN_LOG2, Statistic::Quantile(MEMORY_QUANTILE)),
        }
    }
}

/// Estimates needs and run times by kind of task. Declared values are hints: they are used alone
/// until the first measurement and have hardly any influence after a few.
///
/// An estimate applies to later placements only. Placed tasks keep their reservation, so a late
/// measurement takes nothing from running tasks.
#[derive(Default)]
pub struct Estimator {
    kinds: FxHashMap<TaskKind, Box<Tracks>>,
}

impl Estimator {
    /// Creates an estimator without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the measured use of a task. A measured or declared zero means unknown.
    pub fn observe(
        &mut self,
        key: TaskKind,
        declared: &Resources,
        measured: &Resources,
        run_time: Span,
    ) {
        self.observe_run_time(key, Span::ZERO, run_time);
        let tracks = self.kinds.entry(key).or_default();
        tracks.cores.observe(declared.cores.0.into(), measured.cores.0.into());
        tracks.memory.observe(declared.memory.0, measured.memory.0);
    }

    /// Records the declared and the measured run time of a task.
    pub fn observe_run_time(&mut self, key: TaskKind, declared: Span, run_time: Span) {
        let tracks = self.kinds.entry(key).or_default();
        tracks.run_time.observe(declared.0, run_time.0);
    }

    /// Returns the resources to reserve for a task that declares `declared`. Slots and accelerators
    /// are as declared; a task that declares only slots runs on an executor and gets only these.
    pub fn needs(&self, key: TaskKind, declared: &Resources) -> Resources {
        let slots_only = Resources { slots: declared.slots, ..Resources::default() };
        if declared.slots.0 > 0 && *declared == slots_only {
            return slots_only;
        }
        let tracks = self.kinds.get(&key);
        let cores = tracks
            .and_then(|tracks| predict_at_least_declared(&tracks.cores, declared.cores.0.into()))
            .map(|cores| Cores(u32::try_from(cores).unwrap_or(u32::MAX)))
            .unwrap_or(if declared.cores.0 > 0 { declared.cores } else { DEFAULT_CORES });
        let memory = tracks
            .and_then(|tracks| predict_at_least_declared(&tracks.memory, declared.memory.0))
            .map(Memory)
            .unwrap_or(if declared.memory.0 > 0 { declared.memory } else { DEFAULT_MEMORY });
        Resources { cores: cores.max(MIN_CORES), memory: memory.max(MIN_MEMORY), ..*declared }
    }

    /// Returns the expected run time of a task that declares `declared`.
    pub fn run_time(&self, key: TaskKind, declared: Span) -> Span {
        let Some(tracks) = self.kinds.get(&key) else { return declared };
        let Some(predicted) = tracks.run_time.predict(declared.0) else { return declared };
        if declared == Span::ZERO || tracks.run_time.count() >= MIN_OBSERVATIONS {
            return Span(predicted);
        }
        Span((declared.0 as f64 * predicted as f64).sqrt() as u64)
    }
}

/// Returns the prediction, but at least the declared value while there are few measurements.
fn predict_at_least_declared(track: &Track, declared: u64) -> Option<u64> {
    let predicted = track.predict(declared)?;
    let floor = if track.count() < MIN_OBSERVATIONS { declared } else { 0 };
    Some(predicted.max(floor))
}
