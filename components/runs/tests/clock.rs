//! Bounds on the clocks of other machines.

use runs::clock::{Clock, PeerClock};
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

/// Guards against a message that counts as fresh because the first ones were late too.
#[test]
fn the_age_of_a_message_is_unknown_before_a_round_trip() {
    assert_eq!(PeerClock::default().earliest(Time(9_000_000)), None);
}

#[test]
fn a_late_message_is_dated_by_when_it_was_sent() {
    let mut clock = PeerClock::default();
    clock.update(Time(5_003_000), Time(9_000_000), Time(5_000_000));
    assert_eq!(clock.earliest(Time(9_000_000)), Some(Time(5_000_000)));
    assert_eq!(clock.earliest(Time(9_100_000)), Some(Time(5_098_000)));
    // Before the known reading, the clock may have run fast.
    assert_eq!(clock.earliest(Time(8_900_000)), Some(Time(4_898_000)));
}

#[test]
fn a_round_trip_that_took_long_replaces_no_better_reading() {
    let mut clock = PeerClock::default();
    clock.update(Time(5_003_000), Time(9_000_000), Time(5_000_000));
    clock.update(Time(5_603_000), Time(9_600_000), Time(5_100_000));
    assert_eq!(clock.earliest(Time(9_600_000)), Some(Time(5_588_000)));
    clock.update(Time(5_703_000), Time(9_700_000), Time(5_699_000));
    assert_eq!(clock.earliest(Time(9_700_000)), Some(Time(5_699_000)));
}

/// Guards against a difference of clocks that is kept for good while they drift apart.
#[test]
fn clocks_that_drift_for_hours_date_messages_as_well_as_at_the_beginning() {
    let mut clock = PeerClock::default();
    for second in 0..20_000 {
        let (sent, shown) = (second * 1_000_000, 7_000_000 + second * 980_000);
        clock.update(Time(sent + 3_000), Time(shown), Time(sent));
        let earliest = clock.earliest(Time(shown + 490_000)).expect("a reading");
        assert!(earliest <= Time(sent + 500_000));
        assert!(earliest >= Time(sent + 470_000));
    }
}

/// Guards against a home that is taken for alive for good after its clock was set.
#[test]
fn a_reading_that_can_not_be_true_is_replaced() {
    let mut clock = PeerClock::default();
    clock.update(Time(5_003_000), Time(9_000_000), Time(5_000_000));
    clock.update(Time(5_103_000), Time(99_000_000), Time(5_100_000));
    assert_eq!(clock.earliest(Time(99_000_000)), Some(Time(5_100_000)));
}
