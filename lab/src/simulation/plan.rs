//! Plan of a simulation: its site, jobs and faults.

use super::Arrival;
use runs::{Options, executor::Kind};
use serde::{Deserialize, Serialize};
use site::unit::Cores;
use std::sync::Arc;

/// Processor share of a large entry.
const LARGE_PROCESSOR: Cores = Cores(500);

/// Processor share of the other entries in a data centre with large ones.
const SMALL_PROCESSOR: Cores = Cores(120);

/// The site, jobs and faults of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of entries, spread over the data centres in turn.
    pub entries: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of executors, spread over the data centres in turn.
    pub executors: usize,
    /// Entries and executors of each data centre, which replace the three fields above; if empty,
    /// those apply.
    pub zones: Vec<DataCentre>,
    /// Cores of the executors in thousandths, repeated in this order.
    pub cores: Vec<u32>,
    /// The machines of the executors, repeated in this order; if empty, all are alike and without a
    /// kind.
    pub machines: Vec<Machine>,
    /// Generated jobs per second; without effect where `arrivals` are given.
    pub rate: u64,
    /// Kinds of generated jobs, equally frequent; at least one.
    pub kinds: Vec<JobKind>,
    /// The jobs in order of their arrival; `None` for `rate` generated jobs per second.
    pub arrivals: Option<Arc<[Arrival]>>,
    /// For how long jobs arrive, in seconds.
    pub seconds: u64,
    /// One order in this many gets no response and may be executed late; `None` loses none.
    pub lost_orders: Option<u32>,
    /// Faults, each with the milliseconds from the first job until it begins.
    pub faults: Vec<(u64, Fault)>,
    /// Options of all entries.
    pub options: Options,
    /// Whether the decision log of the entries is printed.
    pub trace: bool,
    /// How often a caller submits a refused job again.
    pub retries: u32,
    /// How long callers of generated jobs wait, in milliseconds. After that they leave, which their entry
    /// sees late, and submit the job again. `None` for callers that wait for every answer.
    pub wait_ms: Option<u64>,
    /// Seconds that callers wait before that; `None` follows `Retry-After`.
    pub retry_after_s: Option<u64>,
}

/// The entries and executors of a data centre.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Number of entries.
    pub entries: usize,
    /// Number of executors.
    pub executors: usize,
    /// Its weight in the distribution of jobs over data centres.
    pub share: f64,
    /// Number of its entries that have more processor than the others; 0 treats all alike.
    #[serde(default)]
    pub large: usize,
}

/// A kind of generated jobs.
#[derive(Clone, Copy, Debug)]
pub struct JobKind {
    /// Number of tasks.
    pub tasks: u16,
    /// Milliseconds that a task takes at least; up to 40% more.
    pub ms: u64,
}

impl JobKind {
    /// A mix of short jobs.
    pub const USUAL: [Self; 4] = [
        Self { tasks: 8, ms: 60 },
        Self { tasks: 2, ms: 200 },
        Self { tasks: 2, ms: 200 },
        Self { tasks: 4, ms: 900 },
    ];
}

/// The machine of an executor.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Its kind, as the executor reports it.
    pub kind: Kind,
    /// Time that a task takes there, in percent of its length.
    pub run_time_percent: u64,
}

/// A fault of the site.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// An entry's process is killed and started again after 500 ms.
    Kill {
        /// Index of the entry.
        entry: usize,
    },
    /// An entry's process is killed and started again later than after a [`Fault::Kill`].
    Lose {
        /// Index of the entry.
        entry: usize,
        /// Time until it is started again, in milliseconds.
        ms: u64,
    },
    /// An entry's process is suspended.
    Freeze {
        /// Index of the entry.
        entry: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// An entry and the others can't reach each other.
    Cut {
        /// Index of the entry.
        entry: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// Two entries can't reach each other.
    CutLink {
        /// Index of one entry.
        entry: usize,
        /// Index of the other one.
        peer: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// An executor neither carries out orders nor responds. Its tasks run on while its lease lasts.
    Dark {
        /// Index of the executor.
        executor: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// An executor crashes; another incarnation follows after 500 ms.
    Crash {
        /// Index of the executor.
        executor: usize,
    },
    /// An executor crashes; another incarnation follows after the given time.
    Down {
        /// Index of the executor.
        executor: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// An executor fails all tasks that it starts.
    Fails {
        /// Index of the executor.
        executor: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// Tasks of an executor take several times as long.
    Slow {
        /// Index of the executor.
        executor: usize,
        /// Duration in milliseconds.
        ms: u64,
        /// Factor on the run time of its tasks.
        factor: u64,
    },
    /// An executor is marked as leaving.
    Leave {
        /// Index of the executor.
        executor: usize,
    },
    /// An entry gets the order to drain and exit.
    Drain {
        /// Index of the entry.
        entry: usize,
    },
    /// An entry's process is stopped by plan and started again 500 ms after its end.
    Roll {
        /// Index of the entry.
        entry: usize,
    },
    /// The store serves all entries but one: its registration lapses, and it learns of no change.
    /// Processes that start meanwhile connect to it only afterwards.
    TurnAway {
        /// Index of the entry.
        entry: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// The operator puts a data centre under cordon.
    Cordon {
        /// Index of the data centre.
        data_centre: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// An entry gets no changes of cordons from the store, unless it restarts.
    Blind {
        /// Index of the entry.
        entry: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// All callers with open jobs leave.
    GiveUp,
    /// The entries of a data centre and those of all others can't reach each other.
    CutDataCentre {
        /// Index of the data centre.
        data_centre: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// An executor lets a part of the tasks that it starts hang: they don't end before they are
    /// stopped, or before its lease does.
    Hangs {
        /// Index of the executor.
        executor: usize,
        /// Duration in milliseconds.
        ms: u64,
        /// Part of its tasks, in percent.
        percent: u32,
    },
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 1,
            data_centres: 1,
            executors: 1,
            zones: Vec::new(),
            cores: vec![64_000, 64_000, 96_000],
            machines: Vec::new(),
            rate: 1,
            kinds: JobKind::USUAL.to_vec(),
            arrivals: None,
            seconds: 1,
            lost_orders: None,
            faults: Vec::new(),
            options: Options::default(),
            trace: false,
            retries: 0,
            wait_ms: None,
            retry_after_s: None,
        }
    }
}

impl Plan {
    /// Returns the machine of an executor; `None` if all are alike.
    pub(super) fn machine(&self, executor: usize) -> Option<&Machine> {
        self.machines.get(executor % self.machines.len().max(1))
    }

    /// Returns the number of entries.
    pub fn entry_count(&self) -> usize {
        match &self.zones[..] {
            [] => self.entries,
            zones => zones.iter().map(|zone| zone.entries).sum(),
        }
    }

    /// Returns the number of executors.
    pub fn executor_count(&self) -> usize {
        match &self.zones[..] {
            [] => self.executors,
            zones => zones.iter().map(|zone| zone.executors).sum(),
        }
    }

    /// Returns the cores of all executors together, in thousandths.
    pub fn core_count(&self) -> u64 {
        let cores = self.cores.iter().cycle().take(self.executor_count());
        cores.map(|cores| u64::from(*cores)).sum()
    }

    /// Returns the processor share of an entry. It only decides which entries become keepers.
    pub fn processor(&self, index: usize) -> Cores {
        let zone = self.zones.get(self.data_centre_of_entry(index));
        let rank = (0..index)
            .filter(|other| self.data_centre_of_entry(*other) == self.data_centre_of_entry(index));
        match zone {
            Some(zone) if rank.count() < zone.large => LARGE_PROCESSOR,
            Some(zone) if zone.large > 0 => SMALL_PROCESSOR,
            _ => Cores(0),
        }
    }

    /// Returns the data centre of an entry.
    pub fn data_centre_of_entry(&self, index: usize) -> usize {
        self.data_centre_of(index, |zone| zone.entries)
    }

    /// Returns the data centre of an executor.
    pub fn data_centre_of_executor(&self, index: usize) -> usize {
        self.data_centre_of(index, |zone| zone.executors)
    }

    fn data_centre_of(&self, index: usize, count: impl Fn(&DataCentre) -> usize) -> usize {
        let mut before = 0;
        let holds = |zone: &DataCentre| {
            before += count(zone);
            index < before
        };
        self.zones.iter().position(holds).unwrap_or(index % self.data_centres.max(1))
    }
}
