//! Pending work, and the rate at which executors complete it.

use serde::{Deserialize, Serialize};
use site::unit::Span;
use std::iter::Sum;

/// The pending work of an entry, and the executors that it keeps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Thousandths of a core that pending and queued tasks need in total.
    pub pending: u64,
    /// Thousandths of a core that are free, as far as tasks of usual size fit.
    pub free: u64,
    /// Thousandths of a core that ending runs free in a second while executors are full.
    pub throughput: u64,
    /// Thousandths of a core of executors whose throughput is not known yet.
    pub unmeasured: u64,
}

/// The sum of the loads of several entries, including the one that made it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of entries that it sums.
    pub entries: u32,
    /// The sum of their loads.
    pub load: Load,
}

impl Summary {
    /// Adds the load of one more entry.
    pub(crate) fn with(self, load: Load) -> Self {
        Self { entries: self.entries + 1, load: [self.load, load].into_iter().sum() }
    }
}

impl Load {
    /// Expected wait for room of a task behind all pending ones; `None` while no executor is known.
    /// `usual` is the assumed run time where nothing has been measured yet.
    pub fn expected_wait(&self, usual: Span) -> Option<Span> {
        let backlog = self.pending.saturating_sub(self.free);
        let throughput = self.throughput.saturating_add(per_second(self.unmeasured, usual));
        let micros = u128::from(backlog) * u128::from(Span::from_secs(1).0);
        let micros = micros.checked_div(u128::from(throughput))?;
        Some(Span(u64::try_from(micros).unwrap_or(u64::MAX)))
    }
}

/// Thousandths of a core freed in a second if all of `cores` are freed in `span`; 0 if `span` is
/// zero, that is, unknown.
pub(crate) fn per_second(cores: u64, span: Span) -> u64 {
    let second = Span::from_secs(1).0;
    cores.saturating_mul(second).checked_div(span.0).unwrap_or_default()
}

impl Sum for Load {
    fn sum<I: Iterator<Item = Self>>(loads: I) -> Self {
        loads.fold(Load::default(), |sum, load| Load {
            pending: sum.pending.saturating_add(load.pending),
            free: sum.free.saturating_add(load.free),
            throughput: sum.throughput.saturating_add(load.throughput),
            unmeasured: sum.unmeasured.saturating_add(load.unmeasured),
        })
    }
}
