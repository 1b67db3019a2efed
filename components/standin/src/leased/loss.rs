//! Orders that get no response and are carried out seconds later.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{ops::RangeInclusive, time::Duration};

/// How much later a lost order is carried out, in milliseconds.
const DELAY_MS: RangeInclusive<u64> = 2_000..=12_000;

/// Which orders of an executor get lost, drawn from a seed.
#[derive(Clone, Debug)]
pub struct Loss {
    percent: u32,
    random: ChaCha8Rng,
}

impl Loss {
    /// Loses `percent` of the orders; at most all.
    pub fn new(percent: u32, seed: u64) -> Self {
        Self { percent: percent.min(100), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns the delay of the order that arrives now, if it is lost.
    pub(super) fn draw(&mut self) -> Option<Duration> {
        let is_lost = self.random.random_ratio(self.percent, 100);
        is_lost.then(|| Duration::from_millis(self.random.random_range(DELAY_MS)))
    }
}
