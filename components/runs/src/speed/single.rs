//! How much longer or shorter a single executor takes than others of its kind.

use crate::{
    Executor,
    executor::{Incarnation, Kind},
};
use site::unit::{Span, Time};

/// Number of latest runs whose median is taken. An executor that turns slow has shifted the median
/// after 8 runs, and three tasks in a hundred that take far longer don't move it.
const RUNS: usize = 15;

/// Runs of an executor below which only its kind counts.
const MIN_RUNS: usize = 5;

/// Deviations below this many standard errors count as chance. Of 350 equal executors one is beyond.
const CHANCE: f32 = 3.0;

/// Standard error of a median relative to that of a mean, for a normal distribution.
const MEDIAN_ERROR: f32 = 1.25;

/// An executor without a run for this long counts as any of its kind, so that one that was slow is
/// tried again.
const MAX_AGE: Span = Span::from_secs(10);

/// The latest runs of one executor, relative to what its kind lets expect.
#[derive(Debug)]
pub(super) struct Single {
    incarnation: Option<Incarnation>,
    kind: Option<Kind>,
    latest: Time,
    /// Ratios of elapsed to expected time, in octaves.
    octaves: [f32; RUNS],
    len: usize,
    next: usize,
    /// The ratio that the latest runs give. Kept, since it is read for each executor at each start.
    ratio: f64,
}

impl Single {
    pub(super) fn new(executor: &Executor) -> Self {
        Self {
            incarnation: executor.incarnation,
            kind: executor.kind.clone(),
            latest: Time(0),
            octaves: [0.0; RUNS],
            len: 0,
            next: 0,
            ratio: 1.0,
        }
    }

    /// Whether the measured incarnation is the executor's current one, on the same kind of machine.
    pub(super) fn is_of(&self, executor: &Executor) -> bool {
        self.incarnation == executor.incarnation && self.kind == executor.kind
    }

    pub(super) fn is_outdated(&self, now: Time) -> bool {
        now.since(self.latest) > MAX_AGE
    }

    /// Records a run. `spread` is the usual deviation of one run, in octaves.
    pub(super) fn observe(&mut self, now: Time, octaves: f32, spread: f32) {
        self.latest = now;
        self.octaves[self.next] = octaves;
        self.next = (self.next + 1) % RUNS;
        self.len = (self.len + 1).min(RUNS);
        self.ratio = f64::from(self.deviation(spread)).exp2();
    }

    /// The run time on this executor relative to others of its kind.
    pub(super) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// The deviation from the kind in octaves, shrunk towards zero: hardly if it is far beyond
    /// chance, to zero if it may be chance.
    fn deviation(&self, spread: f32) -> f32 {
        if self.len < MIN_RUNS {
            return 0.0;
        }
        let median = self.median();
        let chance = CHANCE * MEDIAN_ERROR * spread / (self.len as f32).sqrt();
        if median.abs() <= chance {
            return 0.0;
        }
        median * (1.0 - (chance / median).powi(2))
    }

    fn median(&self) -> f32 {
        let mut sorted = self.octaves;
        let sorted = &mut sorted[..self.len];
        sorted.sort_unstable_by(f32::total_cmp);
        sorted[self.len / 2]
    }
}
