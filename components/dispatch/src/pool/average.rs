//! What a task of a pool needs on average.

use site::unit::{Accelerators, Cores, Memory, Resources};

/// Part of the average that each task replaces.
const MIN_AVERAGE_STEP: f64 = 0.01;

/// A moving average of what tasks were given.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AverageNeeds {
    /// Tasks so far, as far as they matter to the average.
    count: u32,
    cores: f64,
    memory: f64,
    accelerators: f64,
}

impl AverageNeeds {
    /// Takes a task into the average.
    pub(super) fn observe(&mut self, needs: &Resources) {
        self.count = self.count.saturating_add(1);
        let step = MIN_AVERAGE_STEP.max(1.0 / f64::from(self.count));
        let toward = |old: f64, new: f64| old + (new - old) * step;
        self.cores = toward(self.cores, f64::from(needs.cores.0));
        self.memory = toward(self.memory, needs.memory.0 as f64);
        self.accelerators = toward(self.accelerators, f64::from(needs.accelerators.0));
    }

    /// The average, or `otherwise` before the first task.
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
