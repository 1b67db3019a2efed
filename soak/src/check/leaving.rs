//! Checks that executors marked as leaving get no new work.

use super::{CONTACT_TIMEOUT, Evidence, Violation};
use std::time::Duration;

/// Time from the mark in the store until the executor must get no new work.
const LEAVE_NOTICE_TIME: Duration = Duration::from_secs(2);

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let starts = evidence.monitor.started_runs();
    let mut violations = Vec::new();
    for leaving in &evidence.record.leaving {
        for start in starts.iter().filter(|start| start.executor == leaving.executor) {
            let at = evidence.begun + Duration::from_micros(start.at.0);
            let after = at.saturating_duration_since(leaving.at);
            if after > LEAVE_NOTICE_TIME
                && evidence.record.is_undisturbed(leaving.at, at, CONTACT_TIMEOUT)
            {
                let (run, executor) = (start.run.to_string(), leaving.executor.clone());
                violations.push(Violation::Leaving { run, executor, after });
            }
        }
    }
    violations
}
