//! The cases that are measured.

use crate::case::Fault;

/// Loads of the healthy cases, in percent.
pub(crate) const LOADS: [u32; 4] = [50, 80, 95, 120];

/// Faults, and combinations of faults, that are measured at 80% load.
pub(crate) const FAULTS: [&[Fault]; 12] = [
    &[Fault::Dead],
    &[Fault::BlackHoles],
    &[Fault::Stragglers],
    &[Fault::Burst],
    &[Fault::Cancel],
    &[Fault::Hints],
    &[Fault::Cut],
    &[Fault::Kill],
    &[Fault::Freeze],
    &[Fault::Kill, Fault::Dead],
    &[Fault::Freeze, Fault::Stragglers],
    &[Fault::Cut, Fault::BlackHoles],
];

/// Returns the loads and faults to measure: all of them, or only the requested ones.
pub(crate) fn listed(load: Option<u32>, faults: &[Fault]) -> Vec<(u32, Vec<Fault>)> {
    if let (Some(load), [_, ..]) = (load, faults) {
        return vec![(load, faults.to_vec())];
    }
    let healthy = LOADS.iter().map(|load| (*load, vec![Fault::None]));
    let faulty = FAULTS.iter().map(|faults| (80, faults.to_vec()));
    let special =
        [(120, vec![Fault::Fair]), (80, vec![Fault::Leaving]), (80, vec![Fault::Platform])];
    healthy
        .chain(faulty)
        .chain(special)
        .filter(|(of, _)| load.is_none_or(|load| load == *of))
        .filter(|(_, of)| faults.is_empty() || faults == of)
        .collect()
}
