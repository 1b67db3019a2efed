//! Isolation of faulty endpoints: few tasks are lost, healthy ones stay open, recovered ones are
//! restored.

use health::{Attempt, Cause, Change, MAX_LOST_TASKS, Monitor, Observation, State};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{
    id::EndpointId,
    unit::{Span, Time},
};

const EXPECTED: Span = Span::from_millis(300);
const DONE: Observation = Observation::Done { elapsed: EXPECTED, expected: EXPECTED };

fn monitor(endpoints: u64) -> Monitor {
    let mut monitor = Monitor::new();
    (0..endpoints).for_each(|id| monitor.insert(EndpointId(id)));
    monitor
}

fn ms(ms: u64) -> Time {
    Time(0) + Span::from_millis(ms)
}

/// Runs one attempt with an immediate outcome at the endpoint, if it takes one.
fn attempt(monitor: &mut Monitor, now: Time, id: u64, what: Observation) -> Option<Change> {
    let id = EndpointId(id);
    monitor.try_acquire(now, id).then(|| monitor.observe(now, id, what))
}

/// Fails attempts until the endpoint is isolated, and returns the end of the isolation.
fn isolate(monitor: &mut Monitor, now: Time, id: u64) -> Time {
    let changes =
        (0..MAX_LOST_TASKS).filter_map(|_| attempt(monitor, now, id, Observation::Failed));
    match changes.last() {
        Some(Change::Isolate { until }) => until,
        other => panic!("not isolated: {other:?}"),
    }
}

fn tick(monitor: &mut Monitor, now: Time) -> Vec<(EndpointId, Change)> {
    let mut out = Vec::new();
    monitor.tick(now, &mut out);
    out
}

proptest! {
    /// An endpoint with some good attempts in flight begins to fail everything that starts later.
    #[test]
    fn an_endpoint_that_fails_everything_loses_few_tasks(
        good in 0_usize..9,
        fresh in any::<bool>(),
        steps in prop::collection::vec(0_u8..4, 200),
    ) {
        let mut monitor = monitor(50);
        let id = EndpointId(7);
        if !fresh {
            attempt(&mut monitor, ms(1), 7, DONE);
        }
        let mut old = (0..good).filter(|_| monitor.try_acquire(ms(1_000), id)).count();
        let (mut failing, mut lost, mut isolated) = (0, 0, false);
        for (step, now) in steps.into_iter().zip((1_010..).map(ms)) {
            let slot = old + failing < MAX_LOST_TASKS as usize;
            match step {
                0 if old > 0 => {
                    old -= 1;
                    let elapsed = now.since(ms(1_000));
                    monitor.observe(now, id, Observation::Done { elapsed, expected: EXPECTED });
                }
                1 if failing > 0 => {
                    failing -= 1;
                    lost += 1;
                    let change = monitor.observe(now, id, Observation::Failed);
                    isolated |= matches!(change, Change::Isolate { .. });
                }
                _ if slot && monitor.try_acquire(now, id) => {
                    prop_assert!(!isolated);
                    failing += 1;
                }
                _ => {}
            }
        }
        prop_assert!(lost + failing <= MAX_LOST_TASKS as usize, "{lost} lost, {failing} in flight");
    }

    #[test]
    fn no_more_than_a_third_is_isolated(endpoints in 6_u64..60, seed in any::<u64>()) {
        let mut monitor = monitor(endpoints);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for step in 0..endpoints * 40 {
            let id = random.random_range(0..endpoints);
            let what = if id % 2 == 0 { Observation::Failed } else { DONE };
            attempt(&mut monitor, ms(step), id, what);
        }
        let isolated = (0..endpoints)
            .filter(|&id| !matches!(monitor.state(EndpointId(id)), State::Open | State::Suspect))
            .count() as u64;
        prop_assert!(isolated <= endpoints / 3, "{isolated} of {endpoints}");
    }
}

#[test]
fn a_job_that_fails_everywhere_isolates_no_endpoint() {
    let mut monitor = monitor(50);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let attempt = |job| Attempt { started: None, cause: Some(Cause(job)) };
    (0..50).for_each(|id| {
        monitor.observe_attempt(ms(0), EndpointId(id), DONE, attempt(1));
    });
    for step in 0..780 {
        // Few endpoints fail, so that their number alone does not indicate a common cause.
        let id = EndpointId(random.random_range(0..10));
        let change = monitor.observe_attempt(ms(step), id, Observation::Failed, attempt(2));
        assert_eq!(change, Change::None);
    }
    assert!((0..50).all(|id| monitor.state(EndpointId(id)) == State::Open));
}

#[test]
fn an_endpoint_that_fails_a_job_that_runs_elsewhere_is_isolated() {
    let mut monitor = monitor(50);
    let attempt = Attempt { started: None, cause: Some(Cause(1)) };
    let mut change = Change::None;
    for step in 0..u64::from(MAX_LOST_TASKS) {
        monitor.observe_attempt(ms(step), EndpointId(step + 1), DONE, attempt);
        change = monitor.observe_attempt(ms(step), EndpointId(0), Observation::Failed, attempt);
    }
    assert!(matches!(change, Change::Isolate { .. }), "{change:?}");
}

#[test]
fn rare_errors_isolate_no_endpoint() {
    let mut monitor = monitor(10);
    let mut random = ChaCha8Rng::seed_from_u64(11);
    for step in 0..20_000 {
        let what = if random.random_bool(0.1) { Observation::Failed } else { DONE };
        let change = attempt(&mut monitor, ms(step), step % 10, what);
        assert!(!matches!(change, Some(Change::Isolate { .. })), "at step {step}");
    }
}

#[test]
fn an_isolated_endpoint_is_probed_at_growing_intervals_and_restored() {
    let mut monitor = monitor(10);
    let id = EndpointId(3);
    let mut now = ms(0);
    let mut until = isolate(&mut monitor, now, 3);
    let mut interval = until.since(now);
    for _ in 0..3 {
        assert!(!monitor.try_acquire(Time(until.0 - 1), id));
        assert_eq!(monitor.next_timer(), Some(until));
        now = until;
        assert_eq!(tick(&mut monitor, now), [(id, Change::Probe)]);
        assert!(monitor.try_acquire(now, id));
        assert!(!monitor.try_acquire(now, id), "one probe at a time");
        match monitor.observe(now, id, Observation::TimedOut) {
            Change::Isolate { until: next } => until = next,
            other => panic!("not isolated again: {other:?}"),
        }
        assert_eq!(until.since(now), Span(interval.0 * 2));
        interval = until.since(now);
    }
    tick(&mut monitor, until);
    assert_eq!(attempt(&mut monitor, until, 3, DONE), Some(Change::None));
    assert_eq!(attempt(&mut monitor, until, 3, DONE), Some(Change::Restore));
    assert_eq!(monitor.state(id), State::Open);
}

#[test]
fn a_suspect_takes_one_attempt_at_a_time_until_one_succeeds() {
    let mut monitor = monitor(10);
    let id = EndpointId(0);
    attempt(&mut monitor, ms(0), 0, DONE);
    (0..3).for_each(|_| {
        attempt(&mut monitor, ms(1), 0, Observation::Lost);
    });
    assert_eq!(monitor.state(id), State::Suspect);
    assert!(monitor.try_acquire(ms(2), id));
    assert!(!monitor.is_open(id));
    monitor.release(id);
    assert!(monitor.is_open(id));
    let elapsed = Span::from_millis(300);
    assert!(monitor.try_acquire(ms(2), id));
    let done = Observation::Done { elapsed, expected: EXPECTED };
    assert_eq!(monitor.observe(ms(400), id, done), Change::Restore);
    assert_eq!(monitor.state(id), State::Open);
}

#[test]
fn two_refusals_count_as_one_failure() {
    let mut monitor = monitor(10);
    let changes: Vec<_> = (0..2 * MAX_LOST_TASKS)
        .map(|_| monitor.observe(ms(0), EndpointId(0), Observation::Refused))
        .collect();
    let (last, others) = changes.split_last().expect("there are changes");
    assert!(others.iter().all(|change| *change == Change::None));
    assert!(matches!(last, Change::Isolate { .. }));
}

#[test]
fn a_slow_endpoint_gets_a_factor_and_is_measured_again_later() {
    let mut monitor = monitor(10);
    let mut slow = Vec::new();
    for step in 0..200 {
        let elapsed = match step {
            // One outlier at a good endpoint, and one slow endpoint.
            57 => Span(EXPECTED.0 * 50),
            step if step % 10 == 3 => Span(EXPECTED.0 * 5),
            _ => EXPECTED,
        };
        // Expected times are ten times too long at every endpoint.
        let expected = Span(EXPECTED.0 * 10);
        let what = Observation::Done { elapsed, expected };
        if let Some(Change::Slow(factor)) = attempt(&mut monitor, ms(step), step % 10, what) {
            slow.push((step % 10, factor));
        }
    }
    assert!(slow.iter().all(|(id, _)| *id == 3), "{slow:?}");
    let (_, factor) = slow.last().expect("the slow endpoint is found");
    assert!((3.0..7.0).contains(factor), "{slow:?}");
    let timer = monitor.next_timer().expect("a timer is set");
    tick(&mut monitor, timer);
    let timer = monitor.next_timer().expect("it was used since, so the timer is set again");
    assert_eq!(tick(&mut monitor, timer), [(EndpointId(3), Change::Slow(1.0))]);
}

#[test]
fn removed_endpoints_do_not_count_as_failing() {
    let mut monitor = monitor(12);
    (0..4).for_each(|id| {
        isolate(&mut monitor, ms(0), id);
        monitor.remove(EndpointId(id));
    });
    assert!(!monitor.try_acquire(ms(0), EndpointId(0)));
    isolate(&mut monitor, ms(1), 5);
}
