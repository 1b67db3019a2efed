//! Sites whose keepers are lost, in virtual time.

use lab::simulation::{DataCentre, Fault, Plan, Simulation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::unit::Span;

/// Two data centres of five entries, three of them large.
fn plan(faults: Vec<(u64, Fault)>) -> Plan {
    let zone = DataCentre { entries: 5, executors: 24, share: 1.0, large: 3 };
    Plan { zones: vec![zone, zone], rate: 30, seconds: 8, faults, ..Plan::default() }
}

/// Simulates the plan, which checks that no task runs twice and no refused job runs.
fn play(plan: Plan, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(plan, seed);
    simulation.play();
    simulation
}

#[test]
fn executors_of_killed_entries_are_in_use_again_within_1200_ms() {
    let lose = |entry| Fault::Lose { entry, ms: 4_000 };
    for faults in [
        vec![(1_000, lose(0))],
        vec![(1_000, lose(0)), (1_000, lose(1))],
        vec![(1_000, lose(0)), (1_100, lose(1)), (1_000, lose(5))],
        // The deputies are lost after they have taken executors over.
        vec![(1_000, lose(0)), (1_900, lose(1))],
    ] {
        for seed in 0..4 {
            let simulation = play(plan(faults.clone()), seed);
            assert!(!simulation.unkept.is_empty());
            let longest = simulation.unkept.iter().max().copied().unwrap_or_default();
            assert!(longest <= Span::from_millis(1_200), "{longest} with {faults:?}");
        }
    }
}

#[test]
fn a_keeper_that_wakes_after_a_second_gets_its_executors_back() {
    for seed in 0..8 {
        let simulation = play(plan(vec![(2_000, Fault::Freeze { entry: 0, ms: 1_000 })]), seed);
        assert!(simulation.fences > 0, "the frozen entry was not fenced");
        assert!(simulation.kept_by(0) > 0, "it keeps nothing in the end");
    }
}

#[test]
fn a_link_that_is_cut_and_a_quick_restart_fence_nobody() {
    for seed in 0..4 {
        let cut = Fault::CutLink { entry: 0, peer: 1, ms: 3_000 };
        assert_eq!(play(plan(vec![(1_000, cut)]), seed).fences, 0);
        let kill = Fault::Kill { entry: 0 };
        assert_eq!(play(plan(vec![(1_000, kill)]), seed).fences, 0);
    }
}

/// Kills, freezes and cuts of entries overlap, while orders to executors are lost or late.
#[test]
fn no_task_runs_twice_while_keepers_are_lost_at_random() {
    for seed in 0..24 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let faults = (0..6).map(|_| {
            let entry = random.random_range(0..10);
            let ms = random.random_range(300..3_000);
            let fault = match random.random_range(0..5) {
                0 => Fault::Kill { entry },
                1 => Fault::Lose { entry, ms },
                2 => Fault::Freeze { entry, ms },
                3 => Fault::Cut { entry, ms },
                _ => Fault::CutLink { entry, peer: (entry + 1) % 10, ms },
            };
            (random.random_range(0..7_000), fault)
        });
        let faults = faults.collect();
        play(Plan { lost_orders: Some(40), ..plan(faults) }, seed);
    }
}
