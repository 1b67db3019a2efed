//! Runs cases and counts their results.

use crate::{Finding, Outcome, Random, Target, heap, panics, watchdog};
use compact_str::CompactString;
use rand::SeedableRng;
use std::collections::BTreeMap;

/// Counts of the cases run on a target.
#[derive(Debug, Default)]
pub struct Run {
    /// Number of cases run.
    pub cases: u64,
    /// Total size of the cases, in bytes.
    pub bytes: u64,
    /// Number of cases without a finding by their result.
    pub outcomes: BTreeMap<CompactString, u64>,
    /// Largest growth of the heap in one case, in bytes.
    pub peak: usize,
    /// Findings by their [`summary`], with their number and the first case and its finding.
    pub findings: BTreeMap<String, (u64, Vec<u8>, Finding)>,
}

impl Run {
    /// Runs `cases` cases of `target` that are generated from `seed`. Stops at the first finding
    /// unless `keep_going`.
    pub fn generate(target: &mut dyn Target, cases: u64, seed: u64, keep_going: bool) -> Run {
        let mut run = Run::default();
        for number in 0..cases {
            let rng = &mut Random::seed_from_u64(seed);
            rng.set_stream(number);
            let case = target.generate(rng);
            run.add(target, &case);
            if !keep_going && !run.findings.is_empty() {
                break;
            }
        }
        run
    }

    /// Runs one case and counts its result.
    pub fn add(&mut self, target: &mut dyn Target, case: &[u8]) {
        self.cases += 1;
        self.bytes += case.len() as u64;
        let (result, peak) = check(target, case);
        self.peak = self.peak.max(peak);
        match result {
            Ok(outcome) => *self.outcomes.entry(outcome).or_default() += 1,
            Err(finding) => {
                let kind = summary(&finding);
                let first = || (0, case.to_vec(), finding);
                self.findings.entry(kind).or_insert_with(first).0 += 1;
            }
        }
    }
}

/// Runs one case and checks all bounds. Returns its result and the peak growth of the heap in
/// bytes.
pub fn check(target: &mut dyn Target, case: &[u8]) -> (Outcome, usize) {
    watchdog::start();
    let bound = target.heap_bound();
    let (result, bytes) =
        heap::peak(|| watchdog::guard(target.name(), case, || panics::catch(|| target.run(case))));
    match result {
        Ok(_) if bytes > bound => (Err(Finding::Memory { bytes, bound }), bytes),
        result => (result, bytes),
    }
}

/// Returns the text by which findings are grouped: those with the same text count as one.
pub fn summary(finding: &Finding) -> String {
    match finding {
        Finding::Panic { text } => text.clone(),
        Finding::Broken { property, .. } => (*property).to_owned(),
        Finding::Steps { what, .. } => (*what).to_owned(),
        Finding::Kept { what, .. } => format!("{}: {what}", finding.name()),
        Finding::Memory { .. } => finding.name().to_owned(),
    }
}
