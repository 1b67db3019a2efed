//! Checks that each configuration is in force in time, and that no process returns to an older one.

use super::{CONTACT_TIMEOUT, Evidence, Violation};
use crate::history::ConfigObservation;
use std::{collections::BTreeMap, time::Duration};

/// Time after its write in which a configuration has to be in force.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// An older configuration may be observed for this long after a newer one, because requests can
/// overtake each other.
const REORDER_TOLERANCE: Duration = Duration::from_millis(250);

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let late =
        evidence.record.config_observations.iter().filter_map(|seen| check_late(evidence, seen));
    late.chain(check_rollback(evidence)).collect()
}

/// Skips the process that follows a planned stop, since it has just begun to read configurations.
fn check_late(evidence: &Evidence<'_>, seen: &ConfigObservation) -> Option<Violation> {
    let record = evidence.record;
    let (at, known) = record
        .configured
        .iter()
        .rev()
        .find(|(at, _)| *at + CONFIG_DEADLINE < seen.asked)
        .copied()?;
    let started = record.stops.iter().any(|stop| {
        stop.entry == seen.entry
            && stop.at <= seen.asked
            && stop.gone.is_none_or(|gone| seen.asked < gone + CONTACT_TIMEOUT)
    });
    let is_late =
        seen.version < known && !started && record.is_undisturbed(at, seen.asked, CONTACT_TIMEOUT);
    is_late.then(|| Violation::LateConfiguration {
        entry: seen.entry,
        seen: seen.version,
        known,
        after: seen.asked.saturating_duration_since(at),
    })
}

fn check_rollback(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut newest: BTreeMap<(usize, u32), ConfigObservation> = BTreeMap::new();
    let mut violations = Vec::new();
    for seen in &evidence.record.config_observations {
        let newest = newest.entry((seen.entry, seen.boot)).or_insert(*seen);
        if seen.version < newest.version && seen.asked > newest.asked + REORDER_TOLERANCE {
            let (from, to) = (newest.version, seen.version);
            violations.push(Violation::ConfigurationRollback { entry: seen.entry, from, to });
        }
        if seen.version > newest.version {
            *newest = *seen;
        }
    }
    violations
}
