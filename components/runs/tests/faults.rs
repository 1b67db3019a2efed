//! Simulations of a small site with faults, single and combined, whose invariants are checked at
//! each step.

use lab::simulation::{Fault, JobKind, Plan, Simulation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn plan(faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        entries: 4,
        data_centres: 2,
        executors: 16,
        rate: 15,
        seconds: 10,
        faults,
        trace: true,
        ..Plan::default()
    }
}

fn play(plan: Plan, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(plan, seed);
    simulation.play();
    simulation
}

fn count(simulation: &Simulation, answer: &str) -> u64 {
    simulation.answers.get(answer).copied().unwrap_or(0)
}

#[test]
fn all_jobs_complete_without_faults() {
    let simulation = play(plan(Vec::new()), 1);
    assert_eq!(
        simulation.answers.keys().copied().collect::<Vec<_>>(),
        ["completed"],
        "{:?}",
        simulation.answers
    );
}

#[test]
fn overload_rejects_jobs_that_have_not_run() {
    let (mut completed, mut given_up) = (0, 0);
    for seed in 0..8 {
        let mut plan = plan(Vec::new());
        plan.rate = 60;
        let simulation = play(plan, seed);
        assert!(count(&simulation, "refused") > 0, "{:?}", simulation.answers);
        completed += count(&simulation, "completed");
        given_up += count(&simulation, "given-up");
    }
    assert!(completed > 8 * 200, "{completed} completed");
    // Jobs that have run are not given up in favour of jobs that have not.
    assert!(given_up < completed / 20, "{given_up} given up, {completed} completed");
}

#[test]
fn killed_entries_leave_no_task_running_twice() {
    for seed in 0..10 {
        let faults = (0..4).map(|n| (1_000 + n * 1_700, Fault::Kill { entry: n as usize % 4 }));
        play(plan(faults.collect()), seed);
    }
}

#[test]
fn frozen_entries_leave_no_task_running_twice() {
    for (seed, ms) in [500, 850, 1_000, 1_500, 3_000].into_iter().enumerate() {
        let faults =
            vec![(1_000, Fault::Freeze { entry: 0, ms }), (5_500, Fault::Freeze { entry: 1, ms })];
        play(plan(faults), seed as u64);
    }
}

/// Guards against requests that an entry takes for new after it did not run: their callers have given up
/// and submitted the jobs again, and the ends of their connections arrive later.
#[test]
fn requests_that_were_not_read_in_a_freeze_run_nowhere_twice() {
    let mut completed = 0;
    for seed in 0..40 {
        let faults = (0..3).map(|n| {
            let ms = 2_700 + seed * 30;
            (500 + n * 3_000 + seed * 17, Fault::Freeze { entry: n as usize, ms })
        });
        let kinds = vec![JobKind { tasks: 2, ms: 700 }];
        let plan = Plan { kinds, wait_ms: Some(1_500), ..plan(faults.collect()) };
        completed += count(&play(Plan { trace: false, ..plan }, seed), "completed");
    }
    assert!(completed > 40 * 50, "{completed} completed");
}

#[test]
fn a_keeper_that_was_frozen_renews_no_lease_for_a_dead_home() {
    for seed in 0..60 {
        let mut faults = Vec::new();
        for round in 0..4 {
            let at = 500 + round * 2_300;
            faults.extend((1..4).map(|entry| (at, Fault::Freeze { entry, ms: 880 })));
            faults.push((at + 10 + seed % 40, Fault::Kill { entry: 0 }));
        }
        let mut plan = plan(faults);
        plan.lost_orders = Some(4);
        play(plan, seed);
    }
}

#[test]
fn entries_continue_after_a_partition() {
    for seed in 0..5 {
        let faults = vec![
            (1_000, Fault::Cut { entry: 0, ms: 2_500 }),
            (5_000, Fault::Cut { entry: 1, ms: 600 }),
        ];
        let simulation = play(plan(faults), seed);
        assert!(count(&simulation, "completed") > 130, "{:?}", simulation.answers);
    }
}

#[test]
fn unresponsive_and_crashed_executors_lose_only_their_own_tasks() {
    for seed in 0..5 {
        let faults = vec![
            (1_000, Fault::Dark { executor: 0, ms: 2_500 }),
            (2_000, Fault::Crash { executor: 3 }),
            (4_000, Fault::Dark { executor: 5, ms: 400 }),
            (6_000, Fault::Crash { executor: 0 }),
        ];
        let simulation = play(plan(faults), seed);
        assert!(count(&simulation, "completed") > 130, "{:?}", simulation.answers);
    }
}

#[test]
fn tasks_of_an_unresponsive_executor_run_elsewhere_after_its_lease() {
    for seed in 0..5 {
        let faults = vec![
            (1_000, Fault::Dark { executor: 0, ms: 60_000 }),
            (1_500, Fault::Dark { executor: 5, ms: 60_000 }),
            (2_000, Fault::Dark { executor: 10, ms: 60_000 }),
        ];
        let simulation = play(plan(faults), seed);
        // Jobs with tasks of 60 ms may be too late after a lease of 700 ms; the others are not.
        assert!(count(&simulation, "given-up") <= 3, "{:?}", simulation.answers);
    }
}

#[test]
fn lost_and_late_orders_cause_no_double_start() {
    for seed in 0..10 {
        let mut plan = plan(Vec::new());
        plan.lost_orders = Some(15);
        let simulation = play(plan, seed);
        println!("seed {seed}: {:?}", simulation.answers);
        // The seed also determines the number of jobs.
        let asked: u64 = simulation.answers.values().sum();
        assert!(
            count(&simulation, "completed") * 100 > asked * 96,
            "seed {seed}: {:?}",
            simulation.answers
        );
    }
}

#[test]
fn an_executor_that_fails_everything_is_avoided() {
    let faults = vec![(1_000, Fault::Fails { executor: 2, ms: 6_000 })];
    let simulation = play(plan(faults), 3);
    assert_eq!(count(&simulation, "failed"), 0, "{:?}", simulation.answers);
}

#[test]
fn a_draining_entry_finishes_its_jobs_and_exits() {
    let faults = vec![(2_000, Fault::Drain { entry: 1 })];
    let simulation = play(plan(faults), 4);
    assert!(simulation.has_exited(1));
    assert_eq!(count(&simulation, "given-up"), 0, "{:?}", simulation.answers);
}

#[test]
fn tasks_of_callers_that_left_are_stopped() {
    let faults = (0..9).map(|n| (500 + n * 1_000, Fault::GiveUp)).collect();
    play(plan(faults), 5);
}

/// A site whose tasks take up to 3.5 s, so that a run which outlives its lease is still there when
/// the task is started again, and whose executors have room for eight of them, so that their leases
/// are extended for others.
fn plan_of_long_tasks(faults: Vec<(u64, Fault)>) -> Plan {
    let kinds = vec![JobKind { tasks: 4, ms: 2_500 }, JobKind { tasks: 2, ms: 2_000 }];
    Plan { executors: 8, cores: vec![216_000], kinds, rate: 6, seconds: 12, ..plan(faults) }
}

/// Guards against runs that go on at a keeper unknown to their home: the store turns entries away
/// while those of a data centre are rolled.
#[test]
fn entries_that_are_turned_away_while_others_are_rolled_leave_no_task_running_twice() {
    for seed in 0..20 {
        let mut faults = vec![
            (200, Fault::TurnAway { entry: 0, ms: 9_000 }),
            (200 + seed % 3, Fault::TurnAway { entry: 2, ms: 9_000 }),
        ];
        let first = 2_700 + seed * 37 % 500;
        faults.push((first, Fault::Roll { entry: 1 }));
        faults.push((first + 1_050, Fault::Roll { entry: 3 }));
        play(plan_of_long_tasks(faults), seed);
    }
}

/// Guards against runs that outlive lost stops: entries are killed while executors leave half of the
/// orders unanswered.
#[test]
fn killed_entries_and_lost_stops_leave_no_task_running_twice() {
    for seed in 0..20 {
        let faults = (0..6).map(|n| (900 + n * 1_900, Fault::Kill { entry: n as usize % 4 }));
        let mut plan = plan_of_long_tasks(faults.collect());
        plan.lost_orders = Some(2);
        play(plan, seed);
    }
}

/// Guards against keepers that take what arrived while they did not run for signs of life: each pause
/// has the kill of a home in it, and the keeper is killed some time after it.
#[test]
fn pauses_with_kills_beside_long_tasks_leave_no_task_running_twice() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for round in 0..4 {
            let at = 900 + round * 2_700;
            let home = random.random_range(0..4);
            let keeper = (home + random.random_range(1..4)) % 4;
            let ms = random.random_range(150..880);
            faults.push((at, Fault::Freeze { entry: keeper, ms }));
            faults.push((at + random.random_range(5..ms), Fault::Kill { entry: home }));
            faults.push((at + random.random_range(300..1_000), Fault::Kill { entry: keeper }));
        }
        let plan = Plan { rate: 12, ..plan_of_long_tasks(faults) };
        println!("seed {seed}: {plan:?}");
        play(plan, seed);
    }
}

#[test]
fn random_faults_on_long_tasks_violate_no_invariant() {
    for seed in 200..230 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..random.random_range(4..14) {
            let at = random.random_range(200..11_500);
            let entry = random.random_range(0..4);
            let ms = random.random_range(100..9_000);
            let fault = match random.random_range(0..8) {
                0 => Fault::Kill { entry },
                1 => Fault::Freeze { entry, ms: ms % 900 },
                2 => Fault::CutLink { entry, peer: (entry + 1) % 4, ms },
                3 => Fault::GiveUp,
                4 | 5 => Fault::TurnAway { entry, ms },
                _ => Fault::Roll { entry },
            };
            faults.push((at, fault));
        }
        let mut plan = plan_of_long_tasks(faults);
        plan.lost_orders = random.random_bool(0.5).then_some(2);
        println!("seed {seed}: {plan:?}");
        play(plan, seed);
    }
}

#[test]
fn random_faults_violate_no_invariant() {
    for seed in 100..140 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..random.random_range(3..12) {
            let at = random.random_range(200..9_500);
            let entry = random.random_range(0..4);
            let executor = random.random_range(0..16);
            let ms = random.random_range(100..3_500);
            let fault = match random.random_range(0..9) {
                0 | 1 => Fault::Kill { entry },
                2 => Fault::Freeze { entry, ms },
                3 => Fault::Cut { entry, ms },
                4 => Fault::Dark { executor, ms },
                5 => Fault::Crash { executor },
                6 => Fault::Fails { executor, ms },
                7 => Fault::Slow { executor, ms, factor: 6 },
                _ => Fault::GiveUp,
            };
            faults.push((at, fault));
        }
        let mut plan = plan(faults);
        plan.lost_orders = random.random_bool(0.5).then_some(25);
        plan.rate = random.random_range(8..45);
        println!("seed {seed}: {plan:?}");
        play(plan, seed);
    }
}
