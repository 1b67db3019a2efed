//! Demand that peaks in one data centre while others have room, and a data centre that is cut off
//! and returns.

mod common;

use common::network::{Network, entry, half_job};
use lab::{
    pattern::{Pattern, Timed},
    simulation::{Fault, Outcome, PlacedFar, Simulation},
};
use runs::{Decision, Options};
use rustc_hash::FxHashMap;
use site::id::{DataCentreId, Home};
use std::{ops::Range, path::PathBuf};

const SEEDS: Range<u64> = 0..4;

/// The data centre that is cut off.
const CUT: usize = 3;

/// The time for which it is cut off, in milliseconds.
const CUT_MS: Range<u64> = 1_000..3_000;

/// Time after the end of a cut in which connections come up and waiting tasks are sent.
const RETURN_MS: u64 = 200;

/// Tasks of mean size that fit on the executors of a keeper.
const KEEPER_CAPACITY: u32 = 7;

/// The pattern at a constant rate for a few seconds, with these shares of the data centres.
fn pattern(shares: [f64; 4], load: f64) -> Pattern {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../lab/patterns");
    let mut pattern = Pattern::load(&folder.join("moving-peaks.json")).expect("a pattern");
    for (zone, share) in pattern.zones.iter_mut().zip(shares) {
        zone.share = share;
    }
    Pattern { swing: None, load, seconds: 4, ..pattern }
}

fn cut_off(pattern: Pattern) -> Pattern {
    let fault = Fault::CutDataCentre { data_centre: CUT, ms: CUT_MS.end - CUT_MS.start };
    Pattern { faults: vec![Timed { at_ms: CUT_MS.start, fault }], ..pattern }
}

fn play(pattern: &Pattern, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(pattern.plan(seed), seed);
    simulation.play();
    simulation
}

/// The part of the jobs of a data centre that completed in time, among those that arrived within
/// this time, over all seeds.
fn in_time(pattern: &Pattern, data_centre: usize, ms: Range<u64>) -> f64 {
    let mut outcomes = Vec::new();
    for seed in SEEDS {
        let arrivals = pattern.plan(seed).arrivals.expect("arrivals");
        let records = play(pattern, seed).records;
        let counts = records.iter().filter(|record| {
            let arrival = &arrivals[record.arrival];
            arrival.data_centre == data_centre && ms.contains(&(arrival.at.0 / 1_000))
        });
        outcomes.extend(counts.map(|record| record.outcome));
    }
    let completed = outcomes.iter().filter(|outcome| **outcome == Outcome::InTime).count();
    completed as f64 / outcomes.len() as f64
}

/// What was sent to the data centre that is cut off, within this time.
fn sent_to_cut(simulation: &Simulation, ms: Range<u64>) -> impl Iterator<Item = &PlacedFar> {
    let is_cut = |home: Home| home.data_centre == DataCentreId(CUT as u64);
    simulation
        .placed_far
        .iter()
        .filter(move |placed| is_cut(placed.keeper) && ms.contains(&(placed.at.0 / 1_000)))
}

/// Guards against refusing jobs of one data centre while others have room: all jobs arrive in one,
/// at twice the rate that its executors bear.
#[test]
fn a_peak_in_one_data_centre_uses_the_room_of_others_before_it_refuses() {
    let pattern = pattern([1.0, 0.0, 0.0, 0.0], 0.7);
    assert!(pattern.offered() * 4.0 > 1.9);
    let share = in_time(&pattern, 0, 0..4_000);
    assert!(share > 0.97, "{share}");
}

/// Guards against a data centre that stops serving its callers when it loses all others. Jobs that
/// it had sent elsewhere before are left out.
#[test]
fn a_data_centre_that_is_cut_off_goes_on_alone() {
    let pattern = cut_off(pattern([1.0; 4], 0.5));
    let share = in_time(&pattern, CUT, CUT_MS.start + 1_000..CUT_MS.end);
    assert!(share > 0.97, "{share}");
}

/// Guards against all homes with waiting jobs sending them to a data centre at once when it
/// returns: the others are overloaded, and it is nearly idle. Without admission, keepers get 39 to
/// 95 tasks more than they have room for.
#[test]
fn a_data_centre_that_returns_is_not_flooded() {
    let pattern = cut_off(pattern([1.0, 1.0, 1.0, 0.1], 1.6));
    for seed in SEEDS {
        let simulation = play(&pattern, seed);
        let mut keepers: FxHashMap<(Home, u64), (u32, u32)> = FxHashMap::default();
        for placed in sent_to_cut(&simulation, CUT_MS.end..CUT_MS.end + RETURN_MS) {
            let (tasks, room) = keepers.entry((placed.keeper, placed.at.0 / 10_000)).or_default();
            *tasks += placed.tasks as u32;
            *room = (*room).max(placed.room);
        }
        assert!(!keepers.is_empty(), "seed {seed}: nothing is sent there");
        for (tasks, room) in keepers.into_values() {
            let most = room + 2 * KEEPER_CAPACITY;
            assert!(tasks <= most, "seed {seed}: {tasks} tasks in 10 ms, room for {room}");
        }
    }
}

/// Guards against sending tasks into a network partition until the connections time out, after
/// 0.8 s: their jobs end late or are given up.
#[test]
fn no_task_is_sent_to_a_data_centre_that_acknowledges_nothing() {
    let mut pattern = cut_off(pattern([1.0; 4], 1.4));
    let sent = |pattern: &Pattern| -> usize {
        let unheard = CUT_MS.start + 500..CUT_MS.end;
        let sent = |seed| sent_to_cut(&play(pattern, seed), unheard.clone()).count();
        SEEDS.map(sent).sum()
    };
    assert_eq!(sent(&pattern), 0);
    pattern.options.avoid_unresponsive = false;
    assert!(sent(&pattern) > 0, "with the setting off, the partition gets no task either");
}

/// Guards against a log that does not tell which tasks leave their data centre.
#[test]
fn the_log_names_the_far_data_centre() {
    let mut network = Network::new(&[1, 1], Options::default());
    for name in ["00000000000000aa", "00000000000000ab"] {
        let job = half_job(name, 2, network.now);
        network.submit(entry(0), job);
        network.wait(10);
    }
    let far = network.log.iter().filter_map(|(_, decision)| match decision {
        Decision::Place { far, .. } => Some(*far),
        _ => None,
    });
    assert_eq!(far.collect::<Vec<_>>(), [None, Some(DataCentreId(1))]);
}
