//! What the rounds of a process tell about the age of what it reads.

use arrival::{Clocks, Rounds};
use site::unit::{Span, Time};

/// Wall time at the start of the steady clock.
const EPOCH: u64 = 1_700_000_000_000_000;

const ROUND: u64 = 20_000;

fn clocks(steady: u64) -> Clocks {
    Clocks { steady: Time(steady), wall: Time(EPOCH + steady) }
}

/// A process that has begun a round every 20 ms until `until`.
fn running(until: u64) -> Rounds {
    let mut rounds = Rounds::new(clocks(0));
    (ROUND..=until).step_by(ROUND as usize).for_each(|at| rounds.begin(clocks(at)));
    rounds
}

#[test]
fn a_running_process_knows_that_what_it_reads_is_a_few_rounds_old_at_most() {
    let moment = running(1_000_000).moment(clocks(1_010_000));
    assert_eq!(moment.now.since(moment.read_until), Span::from_millis(70));
}

/// Guards against ages that are counted from the end of a pause.
#[test]
fn what_is_read_after_a_pause_may_be_as_old_as_the_pause() {
    let mut rounds = running(1_000_000);
    let woken = 4_000_000;
    for round in 0..3 {
        let now = clocks(woken + round * ROUND);
        let moment = rounds.moment(now);
        assert!(moment.now.since(moment.read_until) >= Span::from_secs(3), "round {round}");
        rounds.begin(now);
    }
    rounds.begin(clocks(woken + 3 * ROUND));
    let moment = rounds.moment(clocks(woken + 3 * ROUND));
    assert_eq!(moment.read_until, Time(woken), "all that had arrived in the pause has been read");
}

/// Guards against requests that are refused in a row on a machine that is slow all the time.
#[test]
fn slow_rounds_make_nothing_older_than_four_of_them() {
    let mut rounds = running(1_000_000);
    let slow = 100_000;
    (1..=10).for_each(|round| rounds.begin(clocks(1_000_000 + round * slow)));
    let moment = rounds.moment(clocks(2_100_000));
    assert_eq!(moment.now.since(moment.read_until), Span(4 * slow));
}
