//! Plots the earned worth against the offered load.

use crate::cmd;
use clap::Args;
use derive_more::{Display, Error, From};
use lab::{
    pattern::{Pattern, PatternError},
    plot::{self, Line, PlotError},
    tally::Tally,
    trial,
};
use std::path::PathBuf;

/// Arguments of `curve`.
#[derive(Args)]
pub(crate) struct Options {
    /// File of the pattern.
    pattern: PathBuf,
    /// File that the plot is written to.
    #[arg(long)]
    out: PathBuf,
    /// Number of seeds, counted from 0.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Offered loads, relative to the capacity of the executors.
    #[arg(long, value_delimiter = ',', default_value = "0.5,0.75,1,1.3,1.65,2,2.5,3,4")]
    offered: Vec<f64>,
    /// Another line with other options, as NAME=JSON,NAME=JSON.
    #[arg(long)]
    set: Vec<String>,
}

/// Error of `curve`.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Failure {
    /// The pattern can't be used.
    #[display("{_0}")]
    Pattern(PatternError),
    /// The plot can't be written.
    #[display("{_0}")]
    Plot(PlotError),
}

/// Simulates the pattern at each offered load, prints the results and draws the plot.
pub(crate) fn run(options: &Options) -> Result<(), Failure> {
    let pattern = Pattern::load(&options.pattern)?;
    let usual = pattern.offered();
    let mut lines = vec![Line {
        name: "all that the executors can do".into(),
        points: options
            .offered
            .iter()
            .map(|offered| (*offered, (1.0 / offered).min(1.0)))
            .collect(),
    }];
    let others =
        options.set.iter().map(|set| (set.clone(), set.split(',').map(String::from).collect()));
    let policies: Vec<(String, Vec<String>)> =
        std::iter::once(("as it is".to_owned(), Vec::new())).chain(others).collect();
    for (name, set) in policies {
        let policy = cmd::with_options(&pattern, &set)?;
        let at = |offered: &f64| Pattern { load: policy.load * offered / usual, ..policy.clone() };
        let patterns: Vec<_> = options.offered.iter().map(at).collect();
        let played = trial::play_all(&patterns, 0..options.seeds);
        let means =
            played.iter().map(|tallies| trial::mean(tallies, |tally: &Tally| tally.all.share()));
        let points: Vec<_> = options.offered.iter().copied().zip(means).collect();
        for (offered, share) in &points {
            println!("{name}: {offered:.2} offered, {share:.3} earned");
        }
        lines.push(Line { name, points });
    }
    plot::draw(&options.out, "Worth earned of what is asked for", "offered load", &lines)?;
    Ok(())
}
