//! Simulates patterns with many seeds.

use crate::{pattern::Pattern, simulation::Simulation, tally::Tally};
use indicatif::{ParallelProgressIterator, ProgressStyle};
use rayon::prelude::*;
use site::unit::Span;
use std::ops::Range;

/// Simulates a pattern with a seed.
pub fn play(pattern: &Pattern, seed: u64) -> Tally {
    let plan = pattern.plan(seed);
    let arrivals = plan.arrivals.clone().unwrap_or_default();
    let available = plan.core_count() * Span::from_secs(pattern.seconds).0;
    let mut simulation = Simulation::new(plan, seed);
    simulation.play();
    let used = simulation.begun_work as f64 / available.max(1) as f64;
    let mut unkept: Vec<_> = simulation.unkept.iter().map(|span| span.0 as f64 / 1e3).collect();
    unkept.sort_by(f64::total_cmp);
    let at = |index: usize| unkept.get(index).copied().unwrap_or_default();
    let unkept_ms = (at(unkept.len() / 2), at(unkept.len().saturating_sub(1)));
    let fences = simulation.fences;
    let traffic = simulation.traffic;
    let submissions = simulation.submissions.values().copied().collect();
    let tally = Tally::new(&arrivals, &simulation.records);
    Tally { used, traffic, unkept_ms, fences, submissions, ..tally }
}

/// Simulates each pattern with each seed in parallel, with a progress bar; returns one row per
/// pattern.
pub fn play_all(patterns: &[Pattern], seeds: Range<u64>) -> Vec<Vec<Tally>> {
    let count = (seeds.end - seeds.start) as usize;
    let trials: Vec<_> = patterns
        .iter()
        .flat_map(|pattern| seeds.clone().map(move |seed| (pattern, seed)))
        .collect();
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} simulations, {eta} left")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    let played: Vec<_> = trials
        .par_iter()
        .progress_with_style(style)
        .map(|(pattern, seed)| play(pattern, *seed))
        .collect();
    played.chunks(count.max(1)).map(<[Tally]>::to_vec).collect()
}

/// Returns the mean of a figure over simulations.
pub fn mean(tallies: &[Tally], figure: impl Fn(&Tally) -> f64) -> f64 {
    tallies.iter().map(figure).sum::<f64>() / tallies.len().max(1) as f64
}
