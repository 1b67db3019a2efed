//! The promises, checked against what was seen from outside.

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

/// An unplanned fault counts for this long after its end: the time after which an entry has to be
/// back in touch.
pub const CONTACT: Duration = Duration::from_secs(3);

/// What a play is judged by.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// What callers and operators saw.
    pub record: &'a Record,
    /// What executors saw.
    pub monitor: &'a RunMonitor,
    /// The time from which executors count.
    pub begun: Instant,
    /// When the faults were over and had time to heal.
    pub healed: Instant,
    /// Names of the executors, by index.
    pub executors: &'a [String],
    /// Requests that each entry has read, by their ids.
    pub read: &'a [HashSet<String>],
    /// Runs that are there after everything has come to rest.
    pub left_over: &'a [String],
}

/// Promises that were not kept.
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
