//! Days played with many seeds.

use crate::{pattern::Pattern, tally::Tally, world::World};
use indicatif::{ParallelProgressIterator, ProgressStyle};
use rayon::prelude::*;
use site::unit::Span;
use std::ops::Range;

/// Plays a pattern with a seed.
pub fn play(pattern: &Pattern, seed: u64) -> Tally {
    let plan = pattern.plan(seed);
    let arrivals = plan.arrivals.clone().unwrap_or_default();
    let offer = plan.core_count() * Span::from_secs(pattern.seconds).0;
    let mut world = World::new(plan, seed);
    world.play();
    let used = world.begun_work as f64 / offer.max(1) as f64;
    Tally { used, ..Tally::new(&arrivals, &world.records) }
}

/// Plays each pattern with each seed, with a progress bar; one row a pattern.
pub fn play_all(patterns: &[Pattern], seeds: Range<u64>) -> Vec<Vec<Tally>> {
    let count = (seeds.end - seeds.start) as usize;
    let days: Vec<_> = patterns
        .iter()
        .flat_map(|pattern| seeds.clone().map(move |seed| (pattern, seed)))
        .collect();
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    let played: Vec<_> = days
        .par_iter()
        .progress_with_style(style)
        .map(|(pattern, seed)| play(pattern, *seed))
        .collect();
    played.chunks(count.max(1)).map(<[Tally]>::to_vec).collect()
}

/// The mean of a figure over days.
pub fn mean(tallies: &[Tally], figure: impl Fn(&Tally) -> f64) -> f64 {
    tallies.iter().map(figure).sum::<f64>() / tallies.len().max(1) as f64
}
