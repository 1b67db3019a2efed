//! Which entries of a site keep executors, and how many of them each.

use rustc_hash::FxHashMap;
use site::{
    id::{DataCentreId, Home},
    unit::{Cores, Weight},
};

/// Large entries keep all executors of their data centre if this part of its processor, as a divisor,
/// is left to them beside their other work.
const LEAST_PART: u64 = 8;

/// Weights by which executors are shared out within each data centre. `homes` come with the processor
/// that they may use, of which each needs `reserve` for its callers and connections.
///
/// Only entries with more than that have weight, so that work waits in few places and small entries
/// have time for their callers. Where such entries are too few, weights go by the processor; where no
/// processor is known, they are equal. At least one home of each data centre has weight.
pub fn weigh(homes: &[(Home, Cores)], reserve: Cores) -> Vec<(Home, Weight)> {
    let mut totals: FxHashMap<DataCentreId, Total> = FxHashMap::default();
    for (home, cores) in homes {
        let total = totals.entry(home.data_centre).or_default();
        total.all += u64::from(cores.0);
        total.beyond += u64::from(cores.0.saturating_sub(reserve.0));
    }
    let weight = |home: &Home, cores: Cores| {
        let total = totals.get(&home.data_centre).copied().unwrap_or_default();
        match total.share() {
            Share::Beyond => cores.0.saturating_sub(reserve.0),
            Share::All => cores.0,
            Share::Even => 1,
        }
    };
    homes.iter().map(|(home, cores)| (*home, Weight(weight(home, *cores)))).collect()
}

/// The processor of a data centre's entries.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    all: u64,
    /// The part of it that large entries have beyond the reserve.
    beyond: u64,
}

/// What executors are shared out by.
#[derive(Clone, Copy, Debug)]
enum Share {
    Beyond,
    All,
    Even,
}

impl Total {
    fn share(&self) -> Share {
        match (self.all, self.beyond * LEAST_PART >= self.all) {
            (0, _) => Share::Even,
            (_, true) => Share::Beyond,
            (_, false) => Share::All,
        }
    }
}
