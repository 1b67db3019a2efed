//! Compares two policies on the same arrivals.

use crate::cmd;
use clap::Args;
use lab::{
    compare::Difference,
    pattern::{Pattern, PatternError},
    tally::Tally,
    trial,
};
use std::path::PathBuf;

/// Arguments of `compare`.
#[derive(Args)]
pub(crate) struct Options {
    /// Files of the patterns.
    #[arg(required = true)]
    patterns: Vec<PathBuf>,
    /// Number of seeds, counted from 0.
    #[arg(long, default_value_t = 16)]
    seeds: u64,
    /// Factor on the patterns' load.
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Option of both policies, as NAME=JSON.
    #[arg(long)]
    base: Vec<String>,
    /// Option of the second policy only, as NAME=JSON.
    #[arg(long, required = true)]
    set: Vec<String>,
}

/// Simulates both policies and prints the differences.
pub(crate) fn run(options: &Options) -> Result<(), PatternError> {
    for path in &options.patterns {
        let mut pattern = cmd::with_options(&Pattern::load(path)?, &options.base)?;
        pattern.load *= options.load;
        let second = cmd::with_options(&pattern, &options.set)?;
        let offered = pattern.offered() * 100.0;
        let mut played = trial::play_all(&[pattern, second], 0..options.seeds).into_iter();
        let (Some(first), Some(second)) = (played.next(), played.next()) else { continue };
        println!("{} ({offered:.0}% offered)", path.display());
        let figure = |name: &str, figure: fn(&Tally) -> f64| {
            let (a, b) = (trial::mean(&first, figure), trial::mean(&second, figure));
            println!("  {name:14} {a:.3} {b:.3}  {}", Difference::new(&first, &second, figure));
        };
        figure("benefit", Tally::benefit);
        figure("whole day", |tally| tally.all.share());
        figure("worst windows", Tally::worst_windows);
        figure("worst kind", Tally::worst_kind);
        figure("worst zone", Tally::worst_data_centre);
        figure("late", |tally| tally.all.late_share());
        figure("returned", |tally| tally.traffic.returned_share());
        figure("messages", |tally| tally.traffic.messages as f64);
        figure("kB sent", |tally| tally.traffic.bytes as f64 / 1e3);
    }
    Ok(())
}
