//! Predicts one quantity of one kind of task from declared and measured values.

use crate::histogram::Histogram;

/// Number of observations from which the declared value itself is no longer used.
pub(crate) const MIN_OBSERVATIONS: u32 = 4;
/// Number of observations between updates of the prediction, above [`EAGER_OBSERVATIONS`].
const UPDATE_INTERVAL: u32 = 8;
/// Number of observations up to which each one updates the prediction.
const EAGER_OBSERVATIONS: u32 = 32;
/// Base-2 logarithm of the value where the histogram of ratios begins: a thousandth of what was
/// declared.
const RATIO_MIN_LOG2: f32 = -10.0;

/// The statistic of its measurements that a track predicts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Statistic {
    /// The mean, for quantities that are added up.
    Mean,
    /// The quantile with this share of the values below it.
    Quantile(f32),
}

impl Statistic {
    fn of(self, histogram: &Histogram) -> f32 {
        match self {
            Statistic::Mean => histogram.mean(),
            Statistic::Quantile(share) => histogram.quantile(share),
        }
    }
}

/// Measurements of one quantity, as absolute values and as ratios to the declared value.
///
/// Predicts from whichever of the two varies less: the ratios if declared values are off by a
/// constant factor, the absolute values if declared values carry no information.
#[derive(Clone, Debug)]
pub(crate) struct Track {
    statistic: Statistic,
    measured: Histogram,
    ratio: Histogram,
    /// Number of observations.
    count: u32,
    /// The statistic of `measured` at the last update.
    value: f32,
    /// The statistic of `ratio` at the last update; `None` if the absolute values vary less.
    factor: Option<f32>,
}

impl Track {
    /// Creates a track for values from `2^first` upwards.
    pub(crate) fn new(first: f32, statistic: Statistic) -> Self {
        Self {
            statistic,
            measured: Histogram::new(first),
            ratio: Histogram::new(RATIO_MIN_LOG2),
            count: 0,
            value: 0.0,
            factor: None,
        }
    }

    /// Records a measurement. Zero means unknown for either value.
    pub(crate) fn observe(&mut self, declared: u64, measured: u64) {
        if measured == 0 {
            return;
        }
        self.measured.add(measured as f32);
        if declared > 0 {
            self.ratio.add(measured as f32 / declared as f32);
        }
        self.count = self.count.saturating_add(1);
        if self.count <= EAGER_OBSERVATIONS || self.count.is_multiple_of(UPDATE_INTERVAL) {
            self.update();
        }
    }

    /// Returns the number of measurements.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Returns the expected value for a task that declares `declared`; `None` before any
    /// measurement.
    pub(crate) fn predict(&self, declared: u64) -> Option<u64> {
        if self.count == 0 {
            return None;
        }
        let value = match self.factor {
            Some(factor) if declared > 0 => declared as f32 * factor,
            _ => self.value,
        };
        Some(value as u64)
    }

    fn update(&mut self) {
        self.value = self.statistic.of(&self.measured);
        let use_ratio = self.ratio.total() > 0 && self.ratio.width() <= self.measured.width();
        self.factor = use_ratio.then(|| self.statistic.of(&self.ratio));
    }
}
