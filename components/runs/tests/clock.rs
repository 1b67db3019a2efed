//! Bounds on the clocks of other machines.

use runs::clock::{Clock, Offset};
use site::unit::{Span, Time};

#[test]
fn lower_bound_allows_for_a_slow_remote_clock() {
    let clock = Clock::new(500, Time(1_000_000));
    assert_eq!(clock.lower_bound(Time(1_000_000)), 500);
    assert_eq!(clock.lower_bound(Time(2_000_000)), 1_480);
    assert_eq!(clock.deadline(Time(2_000_000), Span::from_millis(700)), 2_180);
}

#[test]
fn out_of_order_reading_is_ignored() {
    let mut clock = Clock::new(500, Time(0));
    clock.update(1_500, Time(1_000_000));
    clock.update(900, Time(1_010_000));
    assert!(clock.lower_bound(Time(1_010_000)) >= 1_500);
}

#[test]
fn message_age_is_relative_to_the_fastest_message() {
    let mut offset = Offset::default();
    assert_eq!(offset.age(Time(5_003_000), Time(9_000_000)), Span::ZERO);
    assert_eq!(offset.age(Time(5_101_000), Time(9_100_000)), Span::ZERO);
    assert_eq!(offset.age(Time(5_601_000), Time(9_200_000)), Span::from_millis(400));
}
