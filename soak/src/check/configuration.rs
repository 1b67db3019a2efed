//! Configurations: in force in time, and never back.

use super::{CONTACT, Evidence, Violation};
use crate::history::Seen;
use std::{collections::BTreeMap, time::Duration};

/// Time in which a configuration has to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// An older configuration may be shown for this long after a newer one was, by a request that
/// another one overtook.
const OVERTAKEN: Duration = Duration::from_millis(250);

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let late = evidence.record.seen.iter().filter_map(|seen| late(evidence, seen));
    late.chain(back(evidence)).collect()
}

/// Not for a planned stop's next process, which has just begun to read.
fn late(evidence: &Evidence<'_>, seen: &Seen) -> Option<Violation> {
    let record = evidence.record;
    let (at, known) =
        record.configured.iter().rev().find(|(at, _)| *at + IN_FORCE < seen.asked).copied()?;
    let started = record.stops.iter().any(|stop| {
        stop.entry == seen.entry
            && stop.at <= seen.asked
            && stop.gone.is_none_or(|gone| seen.asked < gone + CONTACT)
    });
    let is_late = seen.version < known && !started && record.is_calm(at, seen.asked, CONTACT);
    is_late.then(|| Violation::Late {
        entry: seen.entry,
        seen: seen.version,
        known,
        after: seen.asked.saturating_duration_since(at),
    })
}

fn back(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut newest: BTreeMap<(usize, u32), Seen> = BTreeMap::new();
    let mut violations = Vec::new();
    for seen in &evidence.record.seen {
        let newest = newest.entry((seen.entry, seen.boot)).or_insert(*seen);
        if seen.version < newest.version && seen.asked > newest.asked + OVERTAKEN {
            let (from, to) = (newest.version, seen.version);
            violations.push(Violation::Back { entry: seen.entry, from, to });
        }
        if seen.version > newest.version {
            *newest = *seen;
        }
    }
    violations
}
