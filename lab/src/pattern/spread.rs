//! Random distribution of quantities that differ between jobs.

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

/// A quantity that differs between jobs: log-normal, clamped to `most`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// Mean before clamping.
    pub mean: f64,
    /// Standard deviation of its logarithm; 0 for a constant.
    #[serde(default)]
    pub spread: f64,
    /// Largest value; unbounded by default.
    #[serde(default = "unbounded")]
    pub most: f64,
}

impl Spread {
    /// Draws a value, at least 1.
    pub fn draw(&self, random: &mut impl Rng) -> f64 {
        let median = self.mean.ln() - self.spread * self.spread / 2.0;
        // An invalid spread yields the mean.
        let value = match LogNormal::new(median, self.spread) {
            Ok(values) => values.sample(random),
            Err(_) => self.mean,
        };
        value.clamp(1.0, self.most.max(1.0))
    }
}

fn unbounded() -> f64 {
    f64::MAX
}
