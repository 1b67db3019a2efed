//! Work that waits, and how long it does.

use runs::load::Load;
use site::unit::Span;

const USUAL: Span = Span::from_millis(200);

#[test]
fn nothing_is_foreseen_without_executors() {
    assert_eq!(Load { waiting: 14_000, ..Load::default() }.wait(USUAL), None);
}

#[test]
fn what_is_free_serves_what_waits() {
    let load = Load { waiting: 14_000, free: 28_000, turnover: 1_000, unmeasured: 0 };
    assert_eq!(load.wait(USUAL), Some(Span::ZERO));
}

#[test]
fn the_rest_waits_for_runs_to_end() {
    let load = Load { waiting: 42_000, free: 28_000, turnover: 140_000, unmeasured: 0 };
    assert_eq!(load.wait(USUAL), Some(Span::from_millis(100)));
}

#[test]
fn estimates_stand_for_runs_that_none_has_ended_of() {
    let load = Load { waiting: 14_000, free: 0, turnover: 0, unmeasured: 28_000 };
    assert_eq!(load.wait(USUAL), Some(Span::from_millis(100)));
    assert_eq!(load.wait(Span::ZERO), None);
}

#[test]
fn large_figures_do_not_overflow() {
    let load = Load { waiting: u64::MAX / 4, free: 0, turnover: 1, unmeasured: u64::MAX / 4 };
    assert!(load.wait(Span(1)).is_some());
    assert_eq!(Load { unmeasured: 0, ..load }.wait(USUAL), Some(Span(u64::MAX)));
}

#[test]
fn loads_of_entries_add_up() {
    let one = Load { waiting: 1, free: 2, turnover: 3, unmeasured: 4 };
    let sum: Load = [one, one, one].into_iter().sum();
    assert_eq!(sum, Load { waiting: 3, free: 6, turnover: 9, unmeasured: 12 });
    let most = Load { waiting: u64::MAX, free: u64::MAX, turnover: u64::MAX, unmeasured: u64::MAX };
    assert_eq!([most, one].into_iter().sum::<Load>(), most);
}
