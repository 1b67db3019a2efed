//! Simulates a pattern and prints statistics of the answers.

use crate::cmd;
use clap::Args;
use lab::{
    pattern::{Pattern, PatternError},
    tally::{Group, Tally},
    trial,
};
use std::{collections::BTreeMap, path::PathBuf};

/// Arguments of `run`.
#[derive(Args)]
pub(crate) struct Options {
    /// File of the pattern.
    pattern: PathBuf,
    /// Number of seeds, counted from 0.
    #[arg(long, default_value_t = 8)]
    seeds: u64,
    /// Factor on the pattern's load.
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Option of the entries, as NAME=JSON.
    #[arg(long)]
    set: Vec<String>,
    /// Also prints the statistics of the jobs of every two seconds.
    #[arg(long)]
    windows: bool,
}

/// Simulates the pattern and prints the statistics.
pub(crate) fn run(options: &Options) -> Result<(), PatternError> {
    let pattern = Pattern::load(&options.pattern)?;
    let mut pattern = cmd::with_options(&pattern, &options.set)?;
    pattern.load *= options.load;
    let offered = pattern.offered();
    let tallies = trial::play_all(std::slice::from_ref(&pattern), 0..options.seeds).remove(0);
    println!("offered {:.0}% of what fits; mean of {} seeds", offered * 100.0, options.seeds);
    let figure = |name: &str, figure: fn(&Tally) -> f64| {
        println!("{name:16} {:.3}", trial::mean(&tallies, figure));
    };
    figure("benefit", Tally::benefit);
    figure("whole day", |tally| tally.all.share());
    figure("worst windows", Tally::worst_windows);
    figure("worst kind", Tally::worst_kind);
    figure("worst zone", Tally::worst_data_centre);
    figure("cores used", |tally| tally.used);
    figure("unserved", |tally| tally.all.unserved_share());
    figure("returned", |tally| tally.traffic.returned_share());
    figure("forwarded", |tally| tally.traffic.forwarded as f64);
    figure("messages", |tally| tally.traffic.messages as f64);
    figure("kB sent", |tally| tally.traffic.bytes as f64 / 1e3);
    figure("placed far", |tally| tally.traffic.far_share());
    figure("kB sent far", |tally| tally.traffic.bytes_far as f64 / 1e3);
    figure("age near ms", |tally| tally.traffic.ages_near.mean_ms());
    figure("age far ms", |tally| tally.traffic.ages_far.mean_ms());
    figure("refused p50 ms", |tally| tally.refusal_ms.0);
    figure("refused p95 ms", |tally| tally.refusal_ms.1);
    figure("unkept p50 ms", |tally| tally.unkept_ms.0);
    figure("unkept max ms", |tally| tally.unkept_ms.1);
    figure("fences", |tally| tally.fences as f64);
    if pattern.retries > 0 {
        figure("retries per job", |tally| tally.retries);
        println!("submissions per second: {}", submissions(&tallies));
    }
    println!("{:24} jobs in-time late refused had-room given-up failed  share", "");
    let name = |kind: &usize| pattern.kinds[*kind].name.clone();
    print_groups(&tallies, |tally| &tally.kinds, name);
    print_groups(&tallies, |tally| &tally.largest, |kind| format!("{}, largest", name(kind)));
    print_groups(&tallies, |tally| &tally.zones, |zone| format!("data centre {zone}"));
    print_groups(&tallies, |tally| &tally.peak_zones, |zone| format!("data centre {zone}, peak"));
    if options.windows {
        print_groups(
            &tallies,
            |tally| &tally.windows,
            |window| format!("seconds from {}", window * 2),
        );
    }
    Ok(())
}

/// Returns the mean number of jobs submitted in each second, retries included.
fn submissions(tallies: &[Tally]) -> String {
    let seconds = tallies.iter().map(|tally| tally.submissions.len()).max().unwrap_or_default();
    let mean = |second: usize| {
        let count = |tally: &Tally| tally.submissions.get(second).map_or(0.0, |n| *n as f64);
        format!("{:.0}", trial::mean(tallies, count))
    };
    (0..seconds).map(mean).collect::<Vec<_>>().join(" ")
}

fn print_groups<K: Copy + Ord>(
    tallies: &[Tally],
    groups: impl Fn(&Tally) -> &BTreeMap<K, Group>,
    name: impl Fn(&K) -> String,
) {
    let mut keys: Vec<_> = tallies.iter().flat_map(|tally| groups(tally).keys()).collect();
    keys.sort_unstable();
    keys.dedup();
    for key in keys {
        let mean = |figure: fn(&Group) -> f64| {
            trial::mean(tallies, |tally| groups(tally).get(key).map_or(0.0, figure))
        };
        println!(
            "{:24} {:4.0} {:7.0} {:4.0} {:7.0} {:8.0} {:8.0} {:6.0}  {:.3}",
            name(key),
            mean(|group| group.jobs as f64),
            mean(|group| group.in_time as f64),
            mean(|group| group.late as f64),
            mean(|group| group.refused as f64),
            mean(|group| group.had_room as f64),
            mean(|group| group.given_up as f64),
            mean(|group| group.failed as f64),
            mean(Group::share),
        );
    }
}
