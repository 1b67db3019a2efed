//! What other entries report of the speed of kinds.

use super::{
    Factor, Measure,
    fit::{ENOUGH_RUNS, MAX_FACTOR, MAX_KINDS, MIN_FACTOR},
};
use crate::executor::Kind;
use rustc_hash::FxHashMap;
use site::id::Home;
use std::collections::BTreeMap;

/// Longest name of a kind. Longer ones count as unknown, since names travel in reports.
pub(super) const MAX_NAME: usize = 64;

/// Maximum weight of a report, so that no entry outweighs several others.
pub(super) const MAX_WEIGHT: u16 = 512;

/// The latest rows of each connected entry.
#[derive(Debug, Default)]
pub(super) struct Heard {
    rows: FxHashMap<Home, Vec<Measure>>,
    /// For each kind the weighted median of what the entries report.
    merged: BTreeMap<Kind, Merged>,
}

/// What the reports say of a kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct Merged {
    pub(super) factor: f64,
    /// Number of runs that it rests on.
    pub(super) runs: u32,
}

impl Heard {
    /// Replaces what an entry reports. Rows that can't be right are left out.
    pub(super) fn set(&mut self, peer: Home, mut rows: Vec<Measure>) {
        rows.truncate(MAX_KINDS);
        rows.retain(Measure::is_valid);
        self.rows.insert(peer, rows);
        self.merge();
    }

    pub(super) fn remove(&mut self, peer: Home) {
        if self.rows.remove(&peer).is_some() {
            self.merge();
        }
    }

    /// The factor of a kind by the reports; `None` if there are none.
    pub(super) fn factor(&self, kind: &Kind) -> Option<Merged> {
        self.merged.get(kind).copied()
    }

    pub(super) fn kinds(&self) -> impl Iterator<Item = &Kind> {
        self.merged.keys()
    }

    fn merge(&mut self) {
        let mut by_kind: BTreeMap<&Kind, Vec<&Measure>> = BTreeMap::new();
        for row in self.rows.values().flatten() {
            by_kind.entry(&row.kind).or_default().push(row);
        }
        let merged = by_kind.into_iter().map(|(kind, rows)| (kind.clone(), median(rows)));
        self.merged = merged.collect();
    }
}

impl Measure {
    /// Whether a report can contain it.
    pub(super) fn is_valid(&self) -> bool {
        self.kind.0.len() <= MAX_NAME && (MIN_FACTOR..=MAX_FACTOR).contains(&self.factor.ratio())
    }
}

/// The weighted median of the factors of a kind. Rows without weight, which entries have from
/// others, count only if there are no others.
fn median(mut rows: Vec<&Measure>) -> Merged {
    let is_measured = |row: &&Measure| row.weight > 0;
    if rows.iter().any(is_measured) {
        rows.retain(is_measured);
    }
    rows.sort_unstable_by_key(|row| (row.factor, row.weight));
    let weight = |row: &Measure| u64::from(row.weight.clamp(1, MAX_WEIGHT));
    let total: u64 = rows.iter().map(|row| weight(row)).sum();
    let mut below = 0;
    let is_middle = |row: &&&Measure| {
        below += weight(row);
        below * 2 >= total
    };
    let factor = rows.iter().find(is_middle).map_or(Factor::ONE, |row| row.factor).ratio();
    // Entries report nothing of a kind before there are enough runs.
    let runs = rows.iter().map(|row| u32::from(row.weight)).max().unwrap_or_default();
    Merged { factor, runs: runs.max(ENOUGH_RUNS) }
}
