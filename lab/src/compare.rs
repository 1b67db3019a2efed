//! Compares two policies on the same arrivals.

use crate::tally::Tally;
use derive_more::Display;

/// Standard errors from the mean to the ends of a 95% confidence interval.
const Z_SCORE_95: f64 = 1.96;

/// The difference of a figure between two policies, seed by seed.
#[derive(Clone, Copy, Debug, Display)]
#[display("{mean:+.3} (95%: {:+.3} to {:+.3}), better on {better} of {count}", mean - half, mean + half)]
pub struct Difference {
    /// Mean of the differences.
    pub mean: f64,
    /// Half the width of the 95% confidence interval of the mean.
    pub half: f64,
    /// Number of seeds on which the second policy has the higher figure.
    pub better: usize,
    /// Number of seeds.
    pub count: usize,
}

impl Difference {
    /// Compares `figure` between two policies; positive if it is higher in `second`.
    pub fn new(first: &[Tally], second: &[Tally], figure: impl Fn(&Tally) -> f64) -> Self {
        let pairs = first.iter().zip(second);
        let differences: Vec<_> = pairs.map(|(a, b)| figure(b) - figure(a)).collect();
        let count = differences.len();
        let mean = differences.iter().sum::<f64>() / count.max(1) as f64;
        let squares: f64 = differences.iter().map(|value| (value - mean).powi(2)).sum();
        let variance = squares / count.saturating_sub(1).max(1) as f64;
        Self {
            mean,
            half: Z_SCORE_95 * (variance / count.max(1) as f64).sqrt(),
            better: differences.iter().filter(|value| **value > 0.0).count(),
            count,
        }
    }
}
