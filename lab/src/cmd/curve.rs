//! Draws what is earned against what is offered.

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

/// What to draw.
#[derive(Args)]
pub(crate) struct Options {
    /// The pattern's file.
    pattern: PathBuf,
    /// Where the plot goes.
    #[arg(long)]
    out: PathBuf,
    /// Seeds, from 0.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// How much is offered, as a part of what the executors can do.
    #[arg(long, value_delimiter = ',', default_value = "0.5,0.75,1,1.3,1.65,2,2.5,3,4")]
    offered: Vec<f64>,
    /// A line with other options, as NAME=JSON,NAME=JSON.
    #[arg(long)]
    set: Vec<String>,
}

/// Why there is no plot.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Failure {
    /// The pattern.
    #[display("{_0}")]
    Pattern(PatternError),
    /// The plot.
    #[display("{_0}")]
    Plot(PlotError),
}

/// Plays, prints and draws.
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
        let means = played.iter().map(|days| trial::mean(days, |tally: &Tally| tally.all.share()));
        let points: Vec<_> = options.offered.iter().copied().zip(means).collect();
        for (offered, share) in &points {
            println!("{name}: {offered:.2} offered, {share:.3} earned");
        }
        lines.push(Line { name, points });
    }
    plot::draw(&options.out, "Worth earned of what is asked for", "offered load", &lines)?;
    Ok(())
}
