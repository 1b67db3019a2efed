//! What a day consists of.

/// What a day consists of.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub entries: usize,
    pub data_centres: usize,
    pub executors: usize,
    /// Jobs a second.
    pub rate: u64,
    pub seconds: u64,
    /// One order in this many gets no answer, or is carried out late.
    pub lost_orders: Option<u32>,
    pub faults: Vec<(u64, Fault)>,
}

/// Something that goes wrong at a moment, for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A process is killed and starts again after 500 ms.
    Kill { entry: usize },
    /// A process stands still.
    Freeze { entry: usize, ms: u64 },
    /// An entry can't reach the others.
    Cut { entry: usize, ms: u64 },
    /// An executor neither acts nor answers.
    Dark { executor: usize, ms: u64 },
    /// An executor dies; another life follows after 500 ms.
    Crash { executor: usize },
    /// An executor fails all that it starts.
    Fails { executor: usize, ms: u64 },
    /// An executor takes many times as long.
    Slow { executor: usize, ms: u64, factor: u64 },
    /// An executor is to be emptied.
    Leave { executor: usize },
    /// A process is told to stop.
    Drain { entry: usize },
    /// A caller leaves.
    GiveUp,
}
