//! Sums of loads, and the wait that is expected from them.

use runs::load::Load;
use site::unit::Span;

const USUAL: Span = Span::from_millis(200);

#[test]
fn the_wait_is_unknown_without_executors() {
    assert_eq!(Load { pending: 14_000, ..Load::default() }.expected_wait(USUAL), None);
}

#[test]
fn free_capacity_covers_pending_work() {
    let load = Load { pending: 14_000, free: 28_000, throughput: 1_000, unmeasured: 0 };
    assert_eq!(load.expected_wait(USUAL), Some(Span::ZERO));
}

#[test]
fn work_beyond_free_capacity_waits_for_runs_to_end() {
    let load = Load { pending: 42_000, free: 28_000, throughput: 140_000, unmeasured: 0 };
    assert_eq!(load.expected_wait(USUAL), Some(Span::from_millis(100)));
}

#[test]
fn the_usual_run_time_stands_in_for_unmeasured_throughput() {
    let load = Load { pending: 14_000, free: 0, throughput: 0, unmeasured: 28_000 };
    assert_eq!(load.expected_wait(USUAL), Some(Span::from_millis(100)));
    assert_eq!(load.expected_wait(Span::ZERO), None);
}

#[test]
fn large_numbers_do_not_overflow() {
    let load = Load { pending: u64::MAX / 4, free: 0, throughput: 1, unmeasured: u64::MAX / 4 };
    assert!(load.expected_wait(Span(1)).is_some());
    assert_eq!(Load { unmeasured: 0, ..load }.expected_wait(USUAL), Some(Span(u64::MAX)));
}

#[test]
fn loads_of_entries_add_up() {
    let one = Load { pending: 1, free: 2, throughput: 3, unmeasured: 4 };
    let sum: Load = [one, one, one].into_iter().sum();
    assert_eq!(sum, Load { pending: 3, free: 6, throughput: 9, unmeasured: 12 });
    let most =
        Load { pending: u64::MAX, free: u64::MAX, throughput: u64::MAX, unmeasured: u64::MAX };
    assert_eq!([most, one].into_iter().sum::<Load>(), most);
}
