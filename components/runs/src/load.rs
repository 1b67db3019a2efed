//! How much work waits for executors, and how fast they get through it.

use serde::{Deserialize, Serialize};
use site::unit::Span;
use std::iter::Sum;

/// What an entry knows of the work that waits, and of the executors that it keeps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Thousandths of a core that waiting tasks need together.
    pub waiting: u64,
    /// Thousandths of a core that are free, as far as tasks of usual size fit.
    pub free: u64,
    /// Thousandths of a core that runs give back in a second while executors are full.
    pub turnover: u64,
    /// Thousandths of a core of executors whose turnover is not known yet.
    pub unmeasured: u64,
}

/// What an entry has added up of several, itself among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// How many entries it is of.
    pub entries: u32,
    /// Their loads together.
    pub load: Load,
}

impl Summary {
    /// With one more entry.
    pub(crate) fn with(self, load: Load) -> Self {
        Self { entries: self.entries + 1, load: [self.load, load].into_iter().sum() }
    }
}

impl Load {
    /// How long a task waits for room behind all that waits already; `None` while no executor is
    /// known. `usual` is how long tasks take where nothing was measured yet.
    pub fn wait(&self, usual: Span) -> Option<Span> {
        let ahead = self.waiting.saturating_sub(self.free);
        let turnover = self.turnover.saturating_add(per_second(self.unmeasured, usual));
        let micros = u128::from(ahead) * u128::from(Span::from_secs(1).0);
        let micros = micros.checked_div(u128::from(turnover))?;
        Some(Span(u64::try_from(micros).unwrap_or(u64::MAX)))
    }
}

/// What is given back in a second if all of `cores` is given back in `span`; 0 if that is unknown.
pub(crate) fn per_second(cores: u64, span: Span) -> u64 {
    let second = Span::from_secs(1).0;
    cores.saturating_mul(second).checked_div(span.0).unwrap_or_default()
}

impl Sum for Load {
    fn sum<I: Iterator<Item = Self>>(loads: I) -> Self {
        loads.fold(Load::default(), |sum, load| Load {
            waiting: sum.waiting.saturating_add(load.waiting),
            free: sum.free.saturating_add(load.free),
            turnover: sum.turnover.saturating_add(load.turnover),
            unmeasured: sum.unmeasured.saturating_add(load.unmeasured),
        })
    }
}
