//! Model of the costs of one entry at a given size of the site, estimated from the measured slopes.

use crate::{
    Error, Slopes,
    slope::{Probe, Quantity},
};
use dispatch::entry::{EPOCH, EPOCHS};

/// Mean number of tasks of a submission: two of five have one task, the others are spread evenly
/// over the orders of magnitude from 5 to 780.
pub(super) const MEAN_JOB_TASKS: f64 = 92.5;

/// Mean run time of a task, in seconds.
pub(super) const MEAN_RUN_TIME_SECS: f64 = 0.42;

/// Seconds in a day.
pub(super) const DAY_SECS: f64 = 86_400.0;

/// Processor time for the control of one node, in nanoseconds per second.
pub(super) const CPU_BUDGET_NS_PER_SEC: f64 = 11e6;

/// Memory for the control of one node, in bytes.
pub(super) const HEAP_BUDGET_BYTES: f64 = 128e6;

/// Network traffic for the control of one node, in bytes per second.
pub(super) const NETWORK_BUDGET_BYTES_PER_SEC: f64 = 4e3;

/// Entries of a data centre that watch the settings in the platform's service.
pub(super) const WATCHERS_PER_DATA_CENTRE: f64 = 2.0;

/// Bytes of answers that an entry keeps: `ANSWER_CACHE_BYTES` of `components/entry`.
pub(super) const ANSWER_LIMIT_BYTES: f64 = (64 << 20) as f64;

/// Writes of key claims per second of one entry: `WRITES_PER_SECOND` of `components/entry`.
pub(super) const CLAIM_WRITES_PER_SEC: f64 = 20.0;

/// Time that a claimed key is kept, in seconds: `KEY_TTL` of `components/entry`.
pub(super) const KEY_TTL_SECS: f64 = DAY_SECS;

/// Documents in the platform's store that hold the key claims.
pub(super) const CLAIM_DOCUMENTS: f64 = 256.0;

/// Size of a site and of its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Size {
    pub(super) entries: f64,
    pub(super) data_centres: f64,
    pub(super) executors: f64,
    pub(super) workers: f64,
    pub(super) firms: f64,
    /// Task starts per second at the peak.
    pub(super) starts: f64,
    /// Changes of the settings per day.
    pub(super) changes: f64,
    /// VMs that fail per day.
    pub(super) failures: f64,
    /// VMs that are restarted or replaced per day.
    pub(super) restarts: f64,
    /// Whether firms have quotas.
    pub(super) quotas: bool,
}

pub(super) const TODAY: Size = Size {
    entries: 8.0,
    data_centres: 3.0,
    executors: 50.0,
    workers: 50.0,
    firms: 4.0,
    starts: 952.0,
    changes: 155.0,
    failures: 0.67,
    restarts: 11.2,
    quotas: false,
};

pub(super) const FULL: Size = Size {
    entries: 27.0,
    data_centres: 9.0,
    executors: 50.0,
    workers: 5_700.0,
    firms: 630.0,
    starts: 170_000.0,
    changes: 8_300.0,
    failures: 36.0,
    restarts: 600.0,
    quotas: true,
};

/// Costs of one lead entry; all entries place tasks at these sizes.
pub(super) struct Model<'a> {
    slopes: &'a Slopes,
    pub(super) size: Size,
}

type Result = std::result::Result<f64, Error>;

impl<'a> Model<'a> {
    pub(super) fn new(slopes: &'a Slopes, size: Size) -> Model<'a> {
        Model { slopes, size }
    }

    /// Returns a model with the same slopes at another size.
    pub(super) fn resized(&self, size: Size) -> Model<'a> {
        Model { slopes: self.slopes, size }
    }

    pub(super) fn at(&self, probe: Probe, quantity: Quantity, size: f64) -> Result {
        self.slopes.at(probe, quantity, size)
    }

    /// Entries in each data centre.
    pub(super) fn entries_per_data_centre(&self) -> f64 {
        self.size.entries / self.size.data_centres
    }

    /// Task starts per second of one entry.
    pub(super) fn starts(&self) -> f64 {
        self.size.starts / self.size.entries
    }

    /// Submissions per second that have one entry as their home.
    pub(super) fn submissions(&self) -> f64 {
        self.starts() / MEAN_JOB_TASKS
    }

    /// Endpoints whose keeper is one entry.
    pub(super) fn kept_endpoints(&self) -> f64 {
        (self.size.workers + self.size.executors) / self.size.entries
    }

    /// Changes of the settings per second, averaged over a day.
    pub(super) fn changes(&self) -> f64 {
        self.size.changes / DAY_SECS
    }

    /// Peers that one entry sends heartbeats to.
    pub(super) fn connections(&self) -> Result {
        let beats = self.at(Probe::Lead, Quantity::BeatsPerSecond, self.size.entries)?;
        Ok(beats * membership::Options::default().interval.0 as f64 / 1e6)
    }

    /// UDP payload sent for heartbeats, in bytes per second.
    pub(super) fn heartbeat_bytes(&self) -> Result {
        let connections = self.connections()?;
        let each = self.at(Probe::Connection, Quantity::UdpBytesPerSecond, connections)?;
        Ok(connections * each)
    }

    /// Processor time for heartbeats, in nanoseconds per second.
    pub(super) fn heartbeat_cpu(&self) -> Result {
        let connections = self.connections()?;
        let measured = connections.min(16.0);
        let each = self.at(Probe::Connection, Quantity::CpuNsPerSecond, measured)?;
        let logic = self.at(Probe::Lead, Quantity::CpuNsPerSecond, self.size.entries)?;
        Ok(connections * each + logic)
    }

    pub(super) fn settings(&self, quantity: Quantity) -> Result {
        self.at(Probe::Settings, quantity, self.size.workers)
    }

    /// Processor time of one change of the settings, in nanoseconds.
    pub(super) fn change_cpu(&self) -> Result {
        let parts = [Quantity::ParseNs, Quantity::AdoptNs];
        parts.into_iter().map(|part| self.settings(part)).sum()
    }

    /// Bytes per second of settings changes relayed to one entry.
    pub(super) fn relay_bytes(&self) -> Result {
        Ok(self.changes() * self.settings(Quantity::DeltaBytes)?)
    }

    /// Bytes per second that a watcher reads from the platform's service.
    pub(super) fn watch_bytes(&self) -> Result {
        let each = self.settings(Quantity::ChangesBytes)? + self.settings(Quantity::ChangeBytes)?;
        Ok(self.changes() * each)
    }

    /// Entries that receive usage messages.
    pub(super) fn usage_receivers(&self) -> f64 {
        self.size.entries - 1.0
    }

    fn usage(&self, quantity: Quantity) -> Result {
        match self.size.quotas {
            true => Ok(self.starts() * self.at(Probe::Usage, quantity, self.usage_receivers())?),
            false => Ok(0.0),
        }
    }

    /// Usage messages sent per second; as many arrive.
    pub(super) fn usage_messages(&self) -> Result {
        self.usage(Quantity::Messages)
    }

    pub(super) fn usage_bytes(&self) -> Result {
        self.usage(Quantity::WireBytes)
    }

    pub(super) fn usage_cpu(&self) -> Result {
        let carried = self.at(Probe::Connection, Quantity::MessageNs, 16.0)?;
        let received = self.at(Probe::Usage, Quantity::CpuNs, self.usage_receivers())?;
        Ok(self.usage_messages()? * (carried + received))
    }

    /// Processor time of all control, in nanoseconds per second.
    pub(super) fn control_cpu(&self) -> Result {
        Ok(self.heartbeat_cpu()? + self.changes() * self.change_cpu()? + self.usage_cpu()?)
    }

    /// Bytes per second of all control that the busiest entry sends, the one that relays settings.
    pub(super) fn control_bytes(&self) -> Result {
        Ok(self.heartbeat_bytes()?
            + self.relay_targets() * self.relay_bytes()?
            + self.usage_bytes()?)
    }

    /// Entries that the first watcher of a data centre relays settings to.
    pub(super) fn relay_targets(&self) -> f64 {
        (self.entries_per_data_centre() - WATCHERS_PER_DATA_CENTRE).max(0.0).ceil()
    }

    /// Memory of all control, in bytes. Every entry holds the whole settings, so each is counted as
    /// if it kept every endpoint.
    pub(super) fn control_heap(&self) -> Result {
        let endpoints = self.size.workers + self.size.executors;
        let per_endpoint = self.at(Probe::Endpoint, Quantity::HeapBytes, endpoints.min(5_700.0))?;
        let per_firm = self.at(Probe::Firm, Quantity::HeapBytes, self.size.firms)?;
        let per_peer = self.at(Probe::Lead, Quantity::HeapBytes, self.size.entries)?;
        let connections = self.connections()?;
        let per_connection = self.at(Probe::Connection, Quantity::HeapBytes, 16.0)?;
        let files = self.settings(Quantity::FolderBytes)?;
        Ok(endpoints * per_endpoint
            + self.size.firms * per_firm
            + self.usage_receivers() * per_peer
            + connections * per_connection
            + files)
    }

    /// Processor time of a task at its home, in nanoseconds: decision, call and log line.
    pub(super) fn task_cpu(&self) -> Result {
        let decision =
            self.at(Probe::StartByEndpoints, Quantity::CpuNs, self.kept_endpoints().max(50.0))?;
        let call = self.at(Probe::Call, Quantity::CpuNs, 64.0)?;
        Ok(decision + call + self.log_line_cpu()?)
    }

    pub(super) fn log_line_cpu(&self) -> Result {
        self.at(Probe::LogLine, Quantity::CpuNs, 4_000.0)
    }

    /// Processor time of a submission apart from its tasks, in nanoseconds: the caller's interface
    /// at the entry that it reaches, and forwarding to its home.
    pub(super) fn submission_cpu(&self) -> Result {
        Ok(self.at(Probe::Request, Quantity::CpuNs, MEAN_JOB_TASKS)? + self.forward_cpu()?)
    }

    /// Processor time of forwarding a submission, at both ends, in nanoseconds.
    pub(super) fn forward_cpu(&self) -> Result {
        let logic = self.at(Probe::Forward, Quantity::CpuNs, MEAN_JOB_TASKS)?;
        Ok(logic + self.at(Probe::Forward, Quantity::CodecNs, MEAN_JOB_TASKS)?)
    }

    /// Processor time of tasks and submissions, in nanoseconds per second.
    pub(super) fn data_cpu(&self) -> Result {
        Ok(self.starts() * self.task_cpu()? + self.submissions() * self.submission_cpu()?)
    }

    /// Time that identifiers are remembered, in seconds.
    pub(super) fn retention_secs(&self) -> f64 {
        EPOCH.0 as f64 / 1e6 * f64::from(EPOCHS)
    }

    /// Finished submissions in the table of one entry.
    pub(super) fn records(&self) -> f64 {
        self.submissions() * self.retention_secs()
    }

    /// Memory of running and finished work without bodies, in bytes.
    pub(super) fn data_heap(&self) -> Result {
        let running = self.starts()
            * MEAN_RUN_TIME_SECS
            * self.at(Probe::OpenTask, Quantity::HeapBytes, MEAN_JOB_TASKS)?;
        let finished =
            self.records() * self.at(Probe::FinishedAnswer, Quantity::HeapBytes, MEAN_JOB_TASKS)?;
        let bare = self.records() * self.at(Probe::FinishedAnswer, Quantity::HeapBytes, 1.0)?;
        Ok(running + finished.min(bare + ANSWER_LIMIT_BYTES))
    }

    /// Encoded bytes of one entry's table in a handover.
    pub(super) fn handover_bytes(&self) -> Result {
        Ok(self.records() * self.at(Probe::Handover, Quantity::WireBytes, MEAN_JOB_TASKS)?)
    }

    /// New keys of callers per second that the claim documents can hold.
    pub(super) fn max_new_keys(&self) -> Result {
        let each = self.at(Probe::Claim, Quantity::HeapBytes, 2_000.0)?;
        Ok(CLAIM_DOCUMENTS * platform::claim::DOCUMENT_LIMIT as f64 / each / KEY_TTL_SECS)
    }
}
