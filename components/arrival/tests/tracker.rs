//! When the requests of a connection can have arrived at the earliest.

use arrival::{Clocks, Moment, Rounds, Tracker};
use site::unit::Time;

/// Wall time at the start of the steady clock.
const EPOCH: u64 = 1_700_000_000_000_000;

const ROUND: u64 = 20_000;

/// Time from the beginning of the oldest known round until a read right after a round has begun.
const ROUNDS: u64 = 3 * ROUND;

fn clocks(steady: u64) -> Clocks {
    Clocks { steady: Time(steady), wall: Time(EPOCH + steady) }
}

fn stamp(steady: u64) -> Option<Time> {
    Some(Time(EPOCH + steady))
}

/// A moment in a process that has begun rounds until `until` and none since.
fn paused(until: u64, now: u64) -> Moment {
    let mut rounds = Rounds::new(clocks(0));
    (ROUND..=until).step_by(ROUND as usize).for_each(|at| rounds.begin(clocks(at)));
    rounds.moment(clocks(now))
}

fn running(now: u64) -> Moment {
    paused(now, now)
}

/// Reads a whole request and answers it.
fn exchange(tracker: &mut Tracker, moment: Moment) -> Time {
    tracker.read(moment, None, true);
    let arrived = tracker.arrived();
    tracker.end_request();
    tracker.respond();
    arrived
}

#[test]
fn a_request_on_an_idle_connection_is_new() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    assert_eq!(exchange(&mut tracker, running(9_000_000)), Time(9_000_000 - ROUNDS));
    tracker.wait(running(9_000_000));
    assert_eq!(exchange(&mut tracker, running(9_020_000)), Time(9_000_000));
}

/// Guards against a request whose age is counted from the moment at which it is read.
#[test]
fn a_request_that_is_read_after_a_pause_may_be_as_old_as_the_pause() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    let woken = paused(2_000_000, 5_000_000);
    assert_eq!(exchange(&mut tracker, woken), Time(2_000_000 - ROUNDS));
}

/// Guards against the same for the queue of new connections.
#[test]
fn a_connection_that_is_accepted_after_a_pause_may_be_as_old_as_the_pause() {
    let mut tracker = Tracker::new(Time(1_500_000));
    let woken = paused(2_000_000, 5_000_000);
    assert_eq!(exchange(&mut tracker, woken), Time(2_000_000 - ROUNDS));
    let mut later = Tracker::new(Time(4_990_000));
    assert_eq!(exchange(&mut later, woken), Time(4_990_000), "none was there after the pause");
}

#[test]
fn the_kernel_knows_that_a_request_came_at_the_end_of_a_pause() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    tracker.read(paused(2_000_000, 5_000_000), stamp(4_700_000), true);
    assert_eq!(tracker.arrived(), Time(4_700_000));
}

/// Guards against time stamps that can't be right: nothing that was there earlier was left unread, and
/// nothing arrives later than it is read.
#[test]
fn a_time_stamp_neither_precedes_the_latest_read_nor_exceeds_the_present() {
    for (stamped, expected) in [(500_000, 2_000_000 - ROUNDS), (7_000_000, 5_000_000)] {
        let mut tracker = Tracker::new(Time(0));
        tracker.wait(running(1_000_000));
        tracker.read(paused(2_000_000, 5_000_000), stamp(stamped), true);
        assert_eq!(tracker.arrived(), Time(expected));
    }
}

/// Guards against time stamps whose age is wrong by what the wall clock was set.
#[test]
fn a_time_stamp_is_ignored_if_the_wall_clock_was_set() {
    let mut rounds = Rounds::new(clocks(0));
    (ROUND..=2_000_000).step_by(ROUND as usize).for_each(|at| rounds.begin(clocks(at)));
    for wall in [EPOCH + 4_000_000, EPOCH + 6_000_000] {
        let mut tracker = Tracker::new(Time(0));
        tracker.wait(running(1_000_000));
        let moment = rounds.moment(Clocks { steady: Time(5_000_000), wall: Time(wall) });
        tracker.read(moment, stamp(3_900_000), true);
        assert_eq!(tracker.arrived(), Time(2_000_000 - ROUNDS));
    }
}

/// Guards against a wait that is counted from the last part of a request.
#[test]
fn a_request_is_as_old_as_its_first_part() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    tracker.read(running(2_000_000), stamp(1_990_000), true);
    tracker.wait(running(2_000_000));
    tracker.read(running(4_000_000), stamp(3_990_000), true);
    assert_eq!(tracker.arrived(), Time(1_990_000));
}

/// Guards against a wait that is counted from the response to the request before it.
#[test]
fn a_request_that_was_sent_behind_another_one_is_as_old_as_its_first_byte() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    tracker.read(running(2_000_000), None, true);
    tracker.end_request();
    tracker.wait(running(2_000_000));
    tracker.read(running(2_200_000), None, true);
    tracker.wait(running(2_200_000));
    tracker.respond();
    assert_eq!(tracker.arrived(), Time(2_200_000 - ROUNDS));
}

/// Guards against the same for a request that was read together with the one before it.
#[test]
fn a_request_that_was_read_with_another_one_is_as_old_as_that() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    let first = exchange(&mut tracker, running(2_000_000));
    assert_eq!(tracker.arrived(), first);
}

/// Guards against counting only rounds where nobody waited for what was there: the process was writing
/// a response.
#[test]
fn what_was_there_before_the_reader_waited_may_have_come_after_the_read_before() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    exchange(&mut tracker, running(2_000_000));
    assert_eq!(exchange(&mut tracker, running(3_000_000)), Time(2_000_000));
}

/// Guards against a body whose bytes count as those of the next request.
#[test]
fn an_interim_response_does_not_end_a_request() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    tracker.read(running(2_000_000), None, true);
    let arrived = tracker.arrived();
    tracker.respond();
    tracker.wait(running(2_000_000));
    tracker.read(running(3_000_000), None, true);
    assert_eq!(tracker.arrived(), arrived);
}

/// Guards against the rest of a body that is too large, which counts as the beginning of the next request.
#[test]
fn a_request_after_one_that_was_not_read_to_its_end_is_new() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    tracker.read(running(2_000_000), None, false);
    tracker.skip_request();
    tracker.respond();
    tracker.read(running(2_000_000), None, true);
    tracker.wait(running(2_000_000));
    assert_eq!(exchange(&mut tracker, running(9_000_000)), Time(9_000_000 - ROUNDS));
}

/// Guards against a large request that takes several reads.
#[test]
fn a_read_that_left_bytes_behind_does_not_empty_the_socket() {
    let mut tracker = Tracker::new(Time(0));
    tracker.wait(running(1_000_000));
    let woken = paused(2_000_000, 5_000_000);
    tracker.read(woken, None, false);
    tracker.end_request();
    tracker.read(running(5_000_000), None, true);
    tracker.respond();
    assert_eq!(tracker.arrived(), Time(2_000_000 - ROUNDS));
}
