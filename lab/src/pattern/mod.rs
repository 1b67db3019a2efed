//! Load patterns: what comes, where it may run, and what goes wrong.

mod draw;
mod spread;

pub use spread::Spread;

use crate::world::{Fault, Zone};
use derive_more::{Display, Error};
use runs::Options;
use serde::{Deserialize, Serialize};
use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// A load pattern.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// Entries, executors and callers of each data centre.
    pub zones: Vec<Zone>,
    /// Cores of the executors in thousandths, repeated in this order.
    pub cores: Vec<u32>,
    /// For how long jobs come in.
    pub seconds: u64,
    /// How many times the jobs of `kinds` come in.
    #[serde(default = "one")]
    pub load: f64,
    /// The kinds of request.
    pub kinds: Vec<Kind>,
    /// An answer is late after this many times the job's longest task ...
    pub stretch: f64,
    /// ... and this much more.
    pub target_ms: u64,
    /// How the traffic rises and falls.
    #[serde(default)]
    pub swing: Option<Swing>,
    /// Times at which more comes.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Timed>,
    /// One order in this many gets no answer, or is carried out late.
    #[serde(default)]
    pub lost_orders: Option<u32>,
    /// Limits and switches of the entries.
    #[serde(default)]
    pub options: Options,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, for tables.
    pub name: String,
    /// How many come in a second on average.
    pub per_s: f64,
    /// Tasks of a job.
    pub tasks: Spread,
    /// How long its tasks run.
    pub task_ms: Spread,
    /// Thousandths of a core that each of them needs.
    pub cores: Spread,
    /// By what part its estimate may be off, either way.
    pub estimate_off: f64,
    /// By what part its tasks differ in length, either way.
    pub uneven: f64,
    /// 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
}

/// Traffic that rises and falls like a wave.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// By what part, either way.
    pub part: f64,
    /// How long one rise and fall take.
    pub period_s: f64,
}

/// A time at which more comes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    pub for_s: f64,
    /// How many times the usual.
    pub x: f64,
    /// Which kind comes more often, by its position; all if it is left out.
    #[serde(default)]
    pub kind: Option<usize>,
}

/// Something that goes wrong at a moment.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Timed {
    /// When.
    pub at_ms: u64,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
}

/// Why there is no pattern.
#[derive(Debug, Display, Error)]
pub enum PatternError {
    /// The file can't be read.
    #[display("{}: can't read: {source}", path.display())]
    Read {
        /// Which.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file holds no pattern.
    #[display("{}: {source}", path.display())]
    Content {
        /// Which.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// A value makes no sense.
    #[display("{field}: {problem}")]
    Value {
        /// Where.
        field: &'static str,
        /// What is wrong.
        problem: &'static str,
    },
}

impl Pattern {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Names the file, or the field, and what is wrong.
    pub fn load(path: &Path) -> Result<Self, PatternError> {
        let read = |source| PatternError::Read { path: path.to_owned(), source };
        let text = fs::read(path).map_err(read)?;
        let content = |source| PatternError::Content { path: path.to_owned(), source };
        let pattern: Pattern = serde_json::from_slice(&text).map_err(content)?;
        pattern.check()?;
        Ok(pattern)
    }

    /// Checks the values against each other.
    ///
    /// # Errors
    ///
    /// Names the first field that makes no sense.
    pub fn check(&self) -> Result<(), PatternError> {
        let wrong = |field, problem| Err(PatternError::Value { field, problem });
        let entries: usize = self.zones.iter().map(|zone| zone.entries).sum();
        let executors: usize = self.zones.iter().map(|zone| zone.executors).sum();
        let is_part = |part: f64| (0.0..1.0).contains(&part);
        if entries == 0 || executors == 0 {
            return wrong("zones", "there must be entries and executors");
        }
        if self.cores.is_empty() || self.cores.contains(&0) {
            return wrong("cores", "each executor must have some");
        }
        if self.kinds.is_empty() {
            return wrong("kinds", "there must be one");
        }
        if !self.load.is_finite() || self.load <= 0.0 {
            return wrong("load", "must be above 0");
        }
        if self.kinds.iter().any(|kind| !is_part(kind.estimate_off) || !is_part(kind.uneven)) {
            return wrong("kinds", "estimate_off and uneven must be from 0 to below 1");
        }
        if self.bursts.iter().any(|burst| burst.kind.is_some_and(|kind| kind >= self.kinds.len())) {
            return wrong("bursts", "there is no such kind");
        }
        let exists = |fault: &Fault| match fault {
            Fault::Kill { entry }
            | Fault::Freeze { entry, .. }
            | Fault::Cut { entry, .. }
            | Fault::Blind { entry, .. }
            | Fault::Drain { entry } => *entry < entries,
            Fault::Dark { executor, .. }
            | Fault::Crash { executor }
            | Fault::Fails { executor, .. }
            | Fault::Slow { executor, .. }
            | Fault::Leave { executor } => *executor < executors,
            Fault::Cordon { data_centre, .. } => *data_centre < self.zones.len(),
            Fault::GiveUp => true,
        };
        if !self.faults.iter().all(|timed| exists(&timed.fault)) {
            return wrong("faults", "there is no such entry, executor or data centre");
        }
        Ok(())
    }

    /// How many times what the executors can do at most is asked for, by means: they hold whole tasks
    /// only.
    pub fn offered(&self) -> f64 {
        let executors: usize = self.zones.iter().map(|zone| zone.executors).sum();
        let part = |kind: &Kind| {
            let held: f64 = (0..executors)
                .map(|index| {
                    (f64::from(self.cores[index % self.cores.len()]) / kind.cores.mean).floor()
                })
                .sum();
            kind.per_s * kind.tasks.mean * kind.task_ms.mean / 1_000.0 / held.max(1.0)
        };
        self.load * self.kinds.iter().map(part).sum::<f64>()
    }
}

fn one() -> f64 {
    1.0
}
