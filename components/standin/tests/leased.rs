//! The state of a leased executor tells runs that a crash has ended from those that ended before.

use runs::{action::Start, executor::StartResponse, job::Run};
use site::{
    id::EndpointId,
    unit::{Resources, Time},
};
use standin::leased::ExecutorState;

const RUN_US: u64 = 200_000;

fn start(state: &mut ExecutorState, job: &str, lease_ms: u64) {
    let now = Time(0);
    let start = Start {
        executor: EndpointId::of("i-0"),
        run: Run { job: job.into(), index: 0, number: 1 },
        spec: "".into(),
        deadline: state.clock(now) + lease_ms,
        token: 1,
    };
    let response = state.start(now, &start, Resources::default(), RUN_US);
    assert!(matches!(response, StartResponse::Running { .. }), "{response:?}");
}

fn executor() -> ExecutorState {
    ExecutorState::new(Resources::default(), 0, 5_000)
}

#[test]
fn a_run_in_progress_is_lost_in_a_crash() {
    let mut state = executor();
    start(&mut state, "a", 900);
    state.crash(Time(RUN_US / 2));
    assert!(state.crashed.contains(&("a".to_owned(), 0)));
    assert!(state.running.is_empty() && state.done.is_empty() && !state.up);
}

#[test]
fn a_run_that_has_ended_is_not_lost_in_a_crash() {
    let mut state = executor();
    start(&mut state, "a", 900);
    state.crash(Time(RUN_US));
    assert!(state.crashed.is_empty());
    assert!(state.done.contains(&("a".to_owned(), 0)));
}

#[test]
fn a_run_whose_lease_has_expired_is_not_lost_in_a_crash() {
    let mut state = executor();
    start(&mut state, "a", 50);
    state.crash(Time(RUN_US / 2));
    assert!(state.crashed.is_empty() && state.done.is_empty() && state.failed.is_empty());
}

#[test]
fn runs_that_end_as_failed_are_counted() {
    let mut state = executor();
    state.fails = true;
    start(&mut state, "a", 900);
    state.end_due_runs(Time(RUN_US));
    assert_eq!(state.failed.get(&("a".to_owned(), 0)), Some(&1));
    assert!(state.done.is_empty());
}

#[test]
fn a_part_of_the_tasks_hangs() {
    let mut state = executor();
    state.hang_percent = 30;
    for job in 0..10 {
        start(&mut state, &job.to_string(), 900);
    }
    state.end_due_runs(Time(RUN_US));
    assert_eq!((state.running.len(), state.done.len()), (3, 7));
}
