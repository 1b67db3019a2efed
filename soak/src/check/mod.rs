//! Checks the guarantees against what callers, executors and operators observed.

mod configuration;
mod jobs;
mod leaving;
mod violation;

pub use violation::Violation;

use crate::history::Record;
use standin::leased::RunMonitor;
use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

/// An unplanned fault excuses violations for this long after its end: the time in which an entry
/// has to be connected again.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// The observations that a play is judged by.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// Observations of callers and operators.
    pub record: &'a Record,
    /// Observations of the executors.
    pub monitor: &'a RunMonitor,
    /// The origin of the executors' clocks.
    pub begun: Instant,
    /// When the faults were over and the time to recover had passed.
    pub recovered_at: Instant,
    /// Ids of the requests that each entry has read, by the index of the entry.
    pub read: &'a [HashSet<String>],
    /// Runs that still exist after all jobs had time to end.
    pub left_over: &'a [String],
}

/// Returns the guarantees that were violated.
pub fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut violations: Vec<Violation> = evidence
        .monitor
        .concurrent_runs()
        .into_iter()
        .map(|runs| Violation::Twice { runs })
        .collect();
    violations.extend(jobs::check(evidence));
    violations.extend(configuration::check(evidence));
    violations.extend(leaving::check(evidence));
    let unwanted = evidence.record.unwanted.iter();
    violations
        .extend(unwanted.map(|(run, span)| Violation::Unwanted { run: run.clone(), span: *span }));
    violations
        .extend(evidence.left_over.iter().map(|run| Violation::LeftOver { run: run.clone() }));
    violations
}
