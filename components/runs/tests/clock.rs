//! Clocks of other machines.

use runs::clock::{Clock, Offset};
use site::unit::{Span, Time};

#[test]
fn an_executor_s_clock_is_never_taken_for_faster_than_it_may_be() {
    let clock = Clock::new(500, Time(1_000_000));
    assert_eq!(clock.least(Time(1_000_000)), 500);
    assert_eq!(clock.least(Time(2_000_000)), 1_480);
    assert_eq!(clock.deadline(Time(2_000_000), Span::from_millis(700)), 2_180);
}

#[test]
fn an_overtaken_reading_is_left_out() {
    let mut clock = Clock::new(500, Time(0));
    clock.update(1_500, Time(1_000_000));
    clock.update(900, Time(1_010_000));
    assert!(clock.least(Time(1_010_000)) >= 1_500);
}

#[test]
fn a_message_is_as_old_as_its_way_was_longer_than_the_shortest() {
    let mut offset = Offset::default();
    assert_eq!(offset.age(Time(5_003_000), Time(9_000_000)), Span::ZERO);
    assert_eq!(offset.age(Time(5_101_000), Time(9_100_000)), Span::ZERO);
    assert_eq!(offset.age(Time(5_601_000), Time(9_200_000)), Span::from_millis(400));
}
