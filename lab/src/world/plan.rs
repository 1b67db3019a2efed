//! What a day consists of.

use super::Arrival;
use runs::Options;
use serde::{Deserialize, Serialize};
use site::unit::Cores;
use std::sync::Arc;

/// The processor of a large entry.
const LARGE_PROCESSOR: Cores = Cores(500);

/// The processor of others beside it.
const SMALL_PROCESSOR: Cores = Cores(120);

/// What a day consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries; spread over the data centres in turn.
    pub entries: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Executors; spread over the data centres in turn.
    pub executors: usize,
    /// Entries and executors of each data centre, in place of the three above; empty if these hold.
    pub zones: Vec<Zone>,
    /// Cores of the executors in thousandths, repeated in this order.
    pub cores: Vec<u32>,
    /// Jobs a second, all alike; without effect where `arrivals` are given.
    pub rate: u64,
    /// The jobs, in order of their arrival; `None` for `rate` jobs a second.
    pub arrivals: Option<Arc<[Arrival]>>,
    /// For how long jobs come in.
    pub seconds: u64,
    /// One order in this many gets no answer, or is carried out late.
    pub lost_orders: Option<u32>,
    /// What goes wrong, and how many milliseconds after the first job.
    pub faults: Vec<(u64, Fault)>,
    /// Limits and switches of all entries.
    pub options: Options,
    /// Whether the entries' decisions are printed.
    pub trace: bool,
}

/// The entries and executors of a data centre.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Entries.
    pub entries: usize,
    /// Executors.
    pub executors: usize,
    /// Its part of the jobs, against those of the others.
    pub share: f64,
    /// Entries among them that have more processor than the others.
    #[serde(default)]
    pub large: usize,
}

/// Something that goes wrong at a moment, for a while.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// A process is killed and starts again after 500 ms.
    Kill {
        /// Which.
        entry: usize,
    },
    /// A process stands still.
    Freeze {
        /// Which.
        entry: usize,
        /// For how long.
        ms: u64,
    },
    /// An entry can't reach the others.
    Cut {
        /// Which.
        entry: usize,
        /// For how long.
        ms: u64,
    },
    /// An executor neither acts nor answers.
    Dark {
        /// Which.
        executor: usize,
        /// For how long.
        ms: u64,
    },
    /// An executor dies; another life follows after 500 ms.
    Crash {
        /// Which.
        executor: usize,
    },
    /// An executor fails all that it starts.
    Fails {
        /// Which.
        executor: usize,
        /// For how long.
        ms: u64,
    },
    /// An executor takes many times as long.
    Slow {
        /// Which.
        executor: usize,
        /// For how long.
        ms: u64,
        /// How many times.
        factor: u64,
    },
    /// An executor is to be emptied.
    Leave {
        /// Which.
        executor: usize,
    },
    /// A process is told to stop.
    Drain {
        /// Which.
        entry: usize,
    },
    /// The operator puts a data centre under cordon.
    Cordon {
        /// Which.
        data_centre: usize,
        /// For how long.
        ms: u64,
    },
    /// The store tells an entry nothing of cordons until it starts anew.
    Blind {
        /// Which.
        entry: usize,
        /// For how long.
        ms: u64,
    },
    /// All callers leave.
    GiveUp,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 1,
            data_centres: 1,
            executors: 1,
            zones: Vec::new(),
            cores: vec![64_000, 64_000, 96_000],
            rate: 1,
            arrivals: None,
            seconds: 1,
            lost_orders: None,
            faults: Vec::new(),
            options: Options::default(),
            trace: false,
        }
    }
}

impl Plan {
    /// How many entries there are.
    pub fn entry_count(&self) -> usize {
        match &self.zones[..] {
            [] => self.entries,
            zones => zones.iter().map(|zone| zone.entries).sum(),
        }
    }

    /// How many executors there are.
    pub fn executor_count(&self) -> usize {
        match &self.zones[..] {
            [] => self.executors,
            zones => zones.iter().map(|zone| zone.executors).sum(),
        }
    }

    /// Thousandths of a core that all executors have together.
    pub fn core_count(&self) -> u64 {
        let cores = self.cores.iter().cycle().take(self.executor_count());
        cores.map(|cores| u64::from(*cores)).sum()
    }

    /// The processor that an entry may use. It only decides which of them keep executors.
    pub fn processor(&self, index: usize) -> Cores {
        let zone = self.zones.get(self.zone_of_entry(index));
        let rank =
            (0..index).filter(|other| self.zone_of_entry(*other) == self.zone_of_entry(index));
        match zone {
            Some(zone) if rank.count() < zone.large => LARGE_PROCESSOR,
            Some(zone) if zone.large > 0 => SMALL_PROCESSOR,
            _ => Cores(0),
        }
    }

    /// The data centre of an entry.
    pub fn zone_of_entry(&self, index: usize) -> usize {
        self.zone_of(index, |zone| zone.entries)
    }

    /// The data centre of an executor.
    pub fn zone_of_executor(&self, index: usize) -> usize {
        self.zone_of(index, |zone| zone.executors)
    }

    fn zone_of(&self, index: usize, count: impl Fn(&Zone) -> usize) -> usize {
        let mut before = 0;
        let holds = |zone: &Zone| {
            before += count(zone);
            index < before
        };
        self.zones.iter().position(holds).unwrap_or(index % self.data_centres.max(1))
    }
}
