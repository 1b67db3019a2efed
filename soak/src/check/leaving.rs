//! Executors that leave get no new work.

use super::{CONTACT, Evidence, Violation};
use std::time::Duration;

/// Time from an executor's notice in the store until it gets no new work.
const EMPTY: Duration = Duration::from_secs(2);

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let starts = evidence.monitor.started_runs();
    let mut violations = Vec::new();
    for leaving in &evidence.record.leaving {
        let executor = &evidence.executors[leaving.executor];
        for start in starts.iter().filter(|start| start.executor == *executor) {
            let at = evidence.begun + Duration::from_micros(start.at.0);
            let after = at.saturating_duration_since(leaving.at);
            if after > EMPTY && evidence.record.is_calm(leaving.at, at, CONTACT) {
                let (run, executor) = (start.run.to_string(), executor.clone());
                violations.push(Violation::Leaving { run, executor, after });
            }
        }
    }
    violations
}
