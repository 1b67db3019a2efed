//! Compares two policies on the same arrivals.

use crate::cmd;
use clap::Args;
use lab::{
    compare::Difference,
    pattern::{Pattern, PatternError},
    tally::{Group, Tally},
    trial,
};
use std::{collections::BTreeMap, path::PathBuf};

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
    /// Also counts the jobs of some seconds that were not served, as FROM-UNTIL in even seconds.
    #[arg(long, value_parser = parse_seconds)]
    within: Vec<(u64, u64)>,
}

/// Simulates both policies and prints the differences.
pub(crate) fn run(options: &Options) -> Result<(), PatternError> {
    for path in &options.patterns {
        let mut pattern = cmd::with_options(&Pattern::load(path)?, &options.base)?;
        pattern.load *= options.load;
        let second = cmd::with_options(&pattern, &options.set)?;
        let offered = pattern.offered() * 100.0;
        let has_bursts = !pattern.bursts.is_empty();
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
        figure("retries", |tally| tally.retries);
        figure("unserved", |tally| tally.all.unserved_share());
        figure("returned", |tally| tally.traffic.returned_share());
        figure("messages", |tally| tally.traffic.messages as f64);
        figure("kB sent", |tally| tally.traffic.bytes as f64 / 1e3);
        figure("placed far", |tally| tally.traffic.far_share());
        figure("kB sent far", |tally| tally.traffic.bytes_far as f64 / 1e3);
        figure("refused", |tally| tally.all.refused_share());
        figure("had room", |tally| tally.all.had_room as f64 / tally.all.jobs.max(1) as f64);
        for (from, until) in &options.within {
            let windows = from / 2..until / 2;
            let count = |name: &str, count: fn(&Group) -> usize| {
                let sum = |tally: &Tally| {
                    let groups = tally.windows.range(windows.clone());
                    groups.map(|(_, group)| count(group)).sum::<usize>() as f64
                };
                let (a, b) = (trial::mean(&first, sum), trial::mean(&second, sum));
                let difference = Difference::new(&first, &second, sum);
                println!("  {from}-{until} s, {name:10} {a:.1} {b:.1}  {difference}");
            };
            count("unserved", Group::unserved);
            count("no result", |group| group.failed + group.given_up);
            count("refused", |group| group.refused);
            count("in time", |group| group.in_time);
        }
        let refused = |name: &str, groups: fn(&Tally) -> &BTreeMap<usize, Group>| {
            let shares = |tallies: &[Tally]| refused_shares(tallies, groups);
            println!("  refused by {name}: {} then {}", shares(&first), shares(&second));
        };
        refused("kind", |tally| &tally.kinds);
        if has_bursts {
            refused("kind in bursts", |tally| &tally.bursts);
        }
        refused("width", |tally| &tally.widths);
        refused("data centre", |tally| &tally.zones);
        refused("data centre at the peak", |tally| &tally.peak_zones);
    }
    Ok(())
}

/// Returns the mean refused share of each group, in percent.
fn refused_shares(tallies: &[Tally], groups: fn(&Tally) -> &BTreeMap<usize, Group>) -> String {
    let mut keys: Vec<_> = tallies.iter().flat_map(|tally| groups(tally).keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    let mean = |key| {
        let share = |tally: &Tally| groups(tally).get(key).map_or(0.0, Group::refused_share);
        format!("{:.1}%", trial::mean(tallies, share) * 100.0)
    };
    keys.into_iter().map(mean).collect::<Vec<_>>().join(" ")
}

fn parse_seconds(text: &str) -> Result<(u64, u64), String> {
    let parsed = text.split_once('-').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    parsed.ok_or_else(|| format!("`{text}` is not FROM-UNTIL"))
}
