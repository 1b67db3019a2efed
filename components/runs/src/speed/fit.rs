//! Fits the run times of executors by kind: a fixed part that all runs of an entry have in common,
//! and a factor on the estimate for each kind.

use crate::executor::Kind;
use site::unit::Span;
use std::collections::{BTreeMap, BTreeSet};

/// Number of latest runs of a kind that the fit uses. With estimates that are off by up to 40% its
/// factor is then accurate to 3%, and a change takes effect after some hundred runs.
const WINDOW: usize = 512;

/// Runs after which a kind's factor may be used. Its standard error is then about 6%.
pub(super) const ENOUGH_RUNS: u32 = 60;

/// Maximum number of kinds; runs on others count as of unknown kind.
pub(super) const MAX_KINDS: usize = 16;

/// Relative error of a prediction from which a run counts less, in inverse proportion to its error.
/// Estimates are off by up to 40%; tasks that are long whatever the executor are off by far more.
const USUAL_ERROR: f64 = 0.5;

/// Passes of the fit at a time. Each continues from the last result, so few are needed.
const PASSES: usize = 3;

/// The fixed part while runs don't tell it apart from the factors, in milliseconds: the order, the
/// start and the listing on an unloaded entry.
const ASSUMED_FIXED_MS: f64 = 10.0;

/// The weight of that assumption, in runs of `ASSUMED_RUN_MS`.
const ASSUMED_FIXED_RUNS: f64 = 4.0;

/// The run time, in milliseconds, of the runs that the assumption counts as.
const ASSUMED_RUN_MS: f64 = 100.0;

/// Weight of a new fixed part in its moving average, so that it and the factors don't vary against
/// each other. The first ones count in full.
const FIXED_WEIGHT: f64 = 0.1;

/// Upper limit of the fixed part, in milliseconds. A larger one is rather a wrong fit.
const MAX_FIXED_MS: f64 = 200.0;

/// Lower limit of the run time that weights are computed from, in milliseconds.
const MIN_RUN_TIME_MS: f64 = 1.0;

/// Lower limit of a factor. Fits and reports beyond the limits are wrong.
pub(super) const MIN_FACTOR: f64 = 0.05;

/// Upper limit of a factor.
pub(super) const MAX_FACTOR: f64 = 20.0;

/// The fitted model of run times.
#[derive(Debug)]
pub(super) struct Fit {
    fixed_ms: f64,
    kinds: BTreeMap<Kind, Window>,
    /// Runs on executors of unknown kind.
    unknown: Window,
    /// Whether there are runs since the last fit.
    is_outdated: bool,
    /// Number of fits so far.
    updates: u32,
}

/// The latest runs of one kind.
#[derive(Debug)]
pub(super) struct Window {
    samples: Vec<Sample>,
    next: usize,
    factor: f64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    estimate_ms: f32,
    elapsed_ms: f32,
}

/// Weighted sums over the runs of a window, for the normal equations.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    estimate: f64,
    estimate_squared: f64,
    elapsed: f64,
    product: f64,
}

impl Default for Fit {
    fn default() -> Self {
        Self {
            fixed_ms: ASSUMED_FIXED_MS,
            kinds: BTreeMap::new(),
            unknown: Window::default(),
            is_outdated: false,
            updates: 0,
        }
    }
}

impl Default for Window {
    fn default() -> Self {
        Self { samples: Vec::new(), next: 0, factor: 1.0 }
    }
}

impl Fit {
    /// Records a run.
    pub(super) fn observe(&mut self, kind: Option<&Kind>, elapsed: Span, estimate: Span) {
        let sample = Sample { estimate_ms: millis(estimate), elapsed_ms: millis(elapsed) };
        self.window_mut(kind).push(sample);
        self.is_outdated = true;
    }

    fn window_mut(&mut self, kind: Option<&Kind>) -> &mut Window {
        let Some(kind) = kind else { return &mut self.unknown };
        if !self.kinds.contains_key(kind) {
            if self.kinds.len() >= MAX_KINDS {
                return &mut self.unknown;
            }
            self.kinds.insert(kind.clone(), Window::default());
        }
        self.kinds.get_mut(kind).unwrap_or(&mut self.unknown)
    }

    /// Drops the runs on executors of other kinds.
    pub(super) fn retain_kinds(&mut self, in_use: &BTreeSet<Kind>) {
        self.kinds.retain(|kind, _| in_use.contains(kind));
    }

    /// The part of a run time that does not depend on the estimate.
    pub(super) fn fixed(&self) -> Span {
        Span((self.fixed_ms * 1e3) as u64)
    }

    /// The kinds with runs.
    pub(super) fn kinds(&self) -> impl Iterator<Item = (&Kind, &Window)> {
        self.kinds.iter()
    }

    /// The runs of a kind, if there are any.
    pub(super) fn kind(&self, kind: &Kind) -> Option<&Window> {
        self.kinds.get(kind)
    }

    /// The runs on executors of unknown kind.
    pub(super) fn unknown(&self) -> &Window {
        &self.unknown
    }

    /// Fits the model to the latest runs, if there are new ones.
    pub(super) fn update(&mut self) {
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        let before = self.fixed_ms;
        for _ in 0..PASSES {
            let sums = self.sums();
            self.fixed_ms = fixed_part(&sums);
            self.set_factors(&sums);
        }
        self.updates = self.updates.saturating_add(1);
        let step = FIXED_WEIGHT.max(1.0 / f64::from(self.updates));
        self.fixed_ms = before + step * (self.fixed_ms - before);
        let sums = self.sums();
        self.set_factors(&sums);
    }

    fn windows(&mut self) -> impl Iterator<Item = &mut Window> {
        let windows = self.kinds.values_mut().chain([&mut self.unknown]);
        windows.filter(|window| window.runs() > 0)
    }

    /// The weighted sums of each window with runs.
    fn sums(&mut self) -> Vec<Sums> {
        let fixed = self.fixed_ms;
        self.windows().map(|window| window.sums(fixed)).collect()
    }

    /// Sets the factors that fit best with the fixed part.
    fn set_factors(&mut self, sums: &[Sums]) {
        let fixed = self.fixed_ms;
        for (window, sums) in self.windows().zip(sums) {
            let factor = sums.slope(sums.product - fixed * sums.estimate);
            window.factor = factor.clamp(MIN_FACTOR, MAX_FACTOR);
        }
    }
}

/// The fixed part of iteratively reweighted least squares on relative errors. Each factor is a linear
/// function of it, so that it is solved for first.
fn fixed_part(sums: &[Sums]) -> f64 {
    let weight = ASSUMED_FIXED_RUNS / ASSUMED_RUN_MS.powi(2);
    let of_fixed: f64 = sums.iter().map(|s| s.weight - s.estimate * s.slope(s.estimate)).sum();
    let of_elapsed: f64 = sums.iter().map(|s| s.elapsed - s.estimate * s.slope(s.product)).sum();
    let fixed = (weight * ASSUMED_FIXED_MS + of_elapsed) / (weight + of_fixed);
    fixed.clamp(0.0, MAX_FIXED_MS)
}

impl Window {
    /// Number of runs that the factor is fitted to.
    pub(super) fn runs(&self) -> u32 {
        self.samples.len() as u32
    }

    pub(super) fn factor(&self) -> f64 {
        self.factor
    }

    fn push(&mut self, sample: Sample) {
        match self.samples.get_mut(self.next) {
            Some(oldest) => *oldest = sample,
            None => self.samples.push(sample),
        }
        self.next = (self.next + 1) % WINDOW;
    }

    fn sums(&self, fixed: f64) -> Sums {
        self.samples.iter().fold(Sums::default(), |mut sums, sample| {
            let (estimate, elapsed) = (f64::from(sample.estimate_ms), f64::from(sample.elapsed_ms));
            let expected = (fixed + self.factor * estimate).max(MIN_RUN_TIME_MS);
            let error = (elapsed / expected - 1.0).abs();
            let weight = (USUAL_ERROR / error.max(USUAL_ERROR)) / (expected * expected);
            sums.weight += weight;
            sums.estimate += weight * estimate;
            sums.estimate_squared += weight * estimate * estimate;
            sums.elapsed += weight * elapsed;
            sums.product += weight * estimate * elapsed;
            sums
        })
    }
}

impl Sums {
    /// Divides by the sum of squared estimates, which is not zero: no estimate is.
    fn slope(&self, product: f64) -> f64 {
        product / self.estimate_squared.max(f64::MIN_POSITIVE)
    }
}

fn millis(span: Span) -> f32 {
    span.0 as f32 / 1e3
}
