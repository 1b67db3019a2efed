//! Disables mechanisms one by one and prints what each contributes.

use crate::cmd;
use clap::Args;
use lab::{
    compare::Difference,
    pattern::{Pattern, PatternError},
    tally::Tally,
    trial,
};
use std::path::PathBuf;

/// Arguments of `ablate`.
#[derive(Args)]
pub(crate) struct Options {
    /// Files of the patterns.
    #[arg(required = true)]
    patterns: Vec<PathBuf>,
    /// Number of seeds, counted from 0.
    #[arg(long, default_value_t = 16)]
    seeds: u64,
    /// Option that disables a mechanism, as NAME=JSON; repeat it for several mechanisms.
    #[arg(long, required = true)]
    off: Vec<String>,
}

/// Prints a table of the benefit that each mechanism adds under each pattern.
pub(crate) fn run(options: &Options) -> Result<(), PatternError> {
    println!("| pattern | benefit | {} |", options.off.join(" | "));
    println!("|---|---|{}", "---|".repeat(options.off.len()));
    for path in &options.patterns {
        let whole = Pattern::load(path)?;
        let without = |off: &String| cmd::with_options(&whole, std::slice::from_ref(off));
        let mut patterns = vec![whole.clone()];
        for off in &options.off {
            patterns.push(without(off)?);
        }
        let played = trial::play_all(&patterns, 0..options.seeds);
        let Some((all, parts)) = played.split_first() else { continue };
        let cell = |part: &Vec<Tally>| {
            let Difference { mean, half, .. } = Difference::new(part, all, Tally::benefit);
            format!("{mean:+.3} ± {half:.3}")
        };
        let cells: Vec<_> = parts.iter().map(cell).collect();
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        println!("| {name} | {:.3} | {} |", trial::mean(all, Tally::benefit), cells.join(" | "));
    }
    Ok(())
}
