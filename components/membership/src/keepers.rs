//! Weights by which the executors of a data centre are divided among its entries.

use rustc_hash::FxHashMap;
use site::{
    id::{DataCentreId, Home},
    unit::{Cores, Weight},
};

/// Divisor: large entries keep all executors of their data centre if the processor capacity that
/// they have beyond the reserve is at least one part in this many of the data
/// centre's.
const MIN_SPARE_DIVISOR: u64 = 8;

/// Returns the weights by which executors are divided within each data centre. `homes` lists the
/// processor capacity that each may use, of which it needs `reserve` for its callers and
/// connections.
///
/// Only entries with more than `reserve` get a weight above zero, so that work queues at few
/// entries and small entries have time for their callers. Where such entries have too little
/// capacity, weights follow the whole capacity; where no capacity is known, they are equal. At
/// least one home of each data centre has a weight above zero.
pub fn weights(homes: &[(Home, Cores)], reserve: Cores) -> Vec<(Home, Weight)> {
    let mut totals: FxHashMap<DataCentreId, Total> = FxHashMap::default();
    for (home, cores) in homes {
        let total = totals.entry(home.data_centre).or_default();
        total.whole += u64::from(cores.0);
        total.spare += u64::from(cores.0.saturating_sub(reserve.0));
    }
    let weight = |home: &Home, cores: Cores| {
        let total = totals.get(&home.data_centre).copied().unwrap_or_default();
        match total.basis() {
            Basis::Spare => cores.0.saturating_sub(reserve.0),
            Basis::Whole => cores.0,
            Basis::Equal => 1,
        }
    };
    homes.iter().map(|(home, cores)| (*home, Weight(weight(home, *cores)))).collect()
}

/// Processor capacity of a data centre's entries, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    whole: u64,
    /// Capacity that large entries have beyond the reserve.
    spare: u64,
}

/// The quantity that weights follow.
#[derive(Clone, Copy, Debug)]
enum Basis {
    /// Capacity beyond the reserve.
    Spare,
    /// Whole capacity.
    Whole,
    /// The same weight for each.
    Equal,
}

impl Total {
    fn basis(&self) -> Basis {
        match (self.whole, self.spare * MIN_SPARE_DIVISOR >= self.whole) {
            (0, _) => Basis::Equal,
            (_, true) => Basis::Spare,
            (_, false) => Basis::Whole,
        }
    }
}
