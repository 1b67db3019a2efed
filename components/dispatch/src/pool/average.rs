//! Estimates the average needs of a pool's tasks.

use site::unit::{Accelerators, Cores, Memory, Resources};

/// Smoothing factor: the minimum weight of a new task in the average.
const MIN_SAMPLE_WEIGHT: f64 = 0.01;

/// Exponential moving average of the resources reserved for tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AverageNeeds {
    /// Number of tasks so far; the first ones are averaged with equal weight.
    count: u32,
    cores: f64,
    memory: f64,
    accelerators: f64,
}

impl AverageNeeds {
    /// Adds a task to the average.
    pub(super) fn observe(&mut self, needs: &Resources) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.count));
        let blend = |old: f64, new: f64| old + (new - old) * weight;
        self.cores = blend(self.cores, f64::from(needs.cores.0));
        self.memory = blend(self.memory, needs.memory.0 as f64);
        self.accelerators = blend(self.accelerators, f64::from(needs.accelerators.0));
    }

    /// Returns the average, or `otherwise` before the first task.
    pub(super) fn needs(&self, otherwise: &Resources) -> Resources {
        if self.count == 0 {
            return *otherwise;
        }
        Resources {
            slots: otherwise.slots,
            cores: Cores(self.cores as u32),
            memory: Memory(self.memory as u64),
            accelerators: Accelerators(self.accelerators as u16),
        }
    }
}
