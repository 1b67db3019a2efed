//! Estimates follow the measurements, whatever the declared values are.

use placement::{Estimator, TaskKind};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::unit::{Cores, Memory, Resources, Slots, Span};

fn size(cores: u32, mib: u64) -> Resources {
    Resources { cores: Cores(cores), memory: Memory(mib << 20), ..Resources::default() }
}

/// Returns an estimator after a hundred tasks that use about `mib` MiB of memory and declare
/// `factor` times as much as they use.
fn learnt(mib: u64, factor: f64) -> Estimator {
    let mut estimate = Estimator::new();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let used = mib * random.random_range(80..=120) / 100;
        let declared = size(1_000, (used as f64 * factor) as u64);
        let run_time = Span::from_millis(random.random_range(80..=120));
        estimate.observe(TaskKind::default(), &declared, &size(500, used), run_time);
    }
    estimate
}

#[test]
fn hints_wrong_by_a_factor_of_ten_are_corrected() {
    for factor in [0.1, 1.0, 10.0] {
        let estimate = learnt(1_000, factor);
        let declared = size(1_000, (1_000.0 * factor) as u64);
        let Resources { memory, cores, .. } = estimate.needs(TaskKind::default(), &declared);
        assert!((1_000 << 20..=1_600 << 20).contains(&memory.0), "factor {factor}: {memory}");
        assert!((500..=600).contains(&cores.0), "factor {factor}: {cores}");
    }
}

#[test]
fn hints_without_information_are_ignored() {
    let mut estimate = Estimator::new();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..200 {
        let declared = size(1_000, random.random_range(100..=10_000));
        estimate.observe(TaskKind::default(), &declared, &size(500, 1_000), Span::from_millis(100));
    }
    for declared in [100, 10_000] {
        let memory = estimate.needs(TaskKind::default(), &size(1_000, declared)).memory;
        assert!((1_000 << 20..=1_200 << 20).contains(&memory.0), "declared {declared}: {memory}");
    }
}

#[test]
fn estimates_scale_with_proportional_hints() {
    let mut estimate = Estimator::new();
    for step in 0..200 {
        let used = 100 << (step % 6);
        estimate.observe(TaskKind::default(), &size(1_000, 3 * used), &size(500, used), Span(100));
    }
    let memory =
        |declared| estimate.needs(TaskKind::default(), &size(1_000, declared)).memory.0 >> 20;
    assert!((100..=125).contains(&memory(300)), "{}", memory(300));
    assert!((3_200..=4_000).contains(&memory(9_600)), "{}", memory(9_600));
}

#[test]
fn one_measurement_does_not_lower_memory() {
    let mut estimate = Estimator::new();
    let declared = size(1_000, 4_000);
    estimate.observe(TaskKind::default(), &declared, &size(500, 100), Span::from_millis(100));
    assert_eq!(estimate.needs(TaskKind::default(), &declared).memory, declared.memory);
}

#[test]
fn run_times_are_learnt_and_slots_stay_as_declared() {
    let estimate = learnt(1_000, 1.0);
    let run_time = estimate.run_time(TaskKind::default(), Span::from_secs(10));
    assert!((90..=110).contains(&run_time.as_millis()), "{run_time}");
    assert_eq!(estimate.needs(TaskKind::default(), &Resources::SLOT), Resources::SLOT);
    let unknown = Estimator::new();
    assert_eq!(unknown.run_time(TaskKind::default(), Span(5)), Span(5));
    let two = Resources { slots: Slots(2), ..Resources::default() };
    assert_eq!(unknown.needs(TaskKind::default(), &two), two);
}
