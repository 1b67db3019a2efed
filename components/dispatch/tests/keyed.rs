//! Submissions under a caller's idempotency key.

mod common;

use common::{Mode, Service, Shape, Simulation, Work, id};
use dispatch::Event;
use site::{
    id::WaiterId,
    submission::{Answer, Failure, Outcome, Reason},
    unit::Span,
};

fn sim() -> Simulation {
    Simulation::new(Shape::default(), 3, 3)
}

fn submit(sim: &mut Simulation, vm: usize, work: &Work, unique: u64) -> WaiterId {
    let fresh = id(sim.entry(vm).own_token(), unique);
    let via = sim.at(vm).unwrap();
    sim.submit_keyed(via, work, fresh)
}

fn complete(sim: &Simulation, waiter: WaiterId) -> bool {
    matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_)))
}

fn failure(sim: &Simulation, waiter: WaiterId) -> Failure {
    match sim.checker.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

#[test]
fn a_key_used_at_all_entries_at_once_runs_once() {
    let mut sim = sim();
    let work = Work::single("a", false);
    let waiters: Vec<_> = (0..3).map(|vm| submit(&mut sim, vm, &work, vm as u64)).collect();
    sim.run(Span::from_secs(2));
    assert!(waiters.iter().all(|waiter| complete(&sim, *waiter)));
    assert_eq!(sim.starts.len(), 1);
}

#[test]
fn equal_keys_of_two_firms_are_different() {
    let mut sim = sim();
    let waiters = [0, 1].map(|firm| submit(&mut sim, firm, &Work::job("a", 2).of(firm), 1));
    sim.run(Span::from_secs(2));
    assert!(waiters.iter().all(|waiter| complete(&sim, *waiter)));
    assert_eq!(sim.starts.len(), 4);
}

#[test]
fn a_new_key_is_rejected_at_once_while_the_platform_is_unavailable() {
    let mut sim = sim();
    sim.platform.service = Service::Unavailable;
    let waiter = submit(&mut sim, 0, &Work::job("a", 2), 1);
    sim.run(Span::from_millis(10));
    let refused = failure(&sim, waiter);
    assert_eq!((refused.outcome, refused.reason), (Outcome::NotRun, Reason::PlatformOut));
    assert!(refused.retry_after.is_some());
    assert!(sim.starts.is_empty());
}

#[test]
fn a_used_key_is_reported_as_may_have_run_while_the_platform_is_unavailable() {
    let mut sim = sim();
    let work = Work::single("a", false);
    submit(&mut sim, 0, &work, 1);
    sim.run(Span::from_secs(1));
    sim.platform.service = Service::Unavailable;
    let waiter = submit(&mut sim, 1, &work, 2);
    sim.run(Span::from_secs(1));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_claim_whose_answer_was_lost_runs_its_submission_once() {
    let mut sim = sim();
    let work = Work::single("a", false);
    sim.platform.service = Service::AnswerLost;
    submit(&mut sim, 0, &work, 1);
    sim.run(Span::from_secs(1));
    assert!(sim.starts.is_empty());
    sim.platform.service = Service::Up;
    let waiters: Vec<_> = (0..3).map(|vm| submit(&mut sim, vm, &work, 10 + vm as u64)).collect();
    sim.run(Span::from_secs(2));
    assert!(waiters.iter().all(|waiter| complete(&sim, *waiter)));
    assert_eq!(sim.starts.len(), 1);
}

#[test]
fn a_key_of_a_rejected_submission_can_be_used_again() {
    let mut sim = sim();
    sim.executors.values_mut().for_each(|executor| executor.mode = Mode::Down);
    let work = Work::single("a", false).within(Span::from_millis(400));
    let first = submit(&mut sim, 0, &work, 1);
    sim.run(Span::from_secs(1));
    assert_eq!(failure(&sim, first).outcome, Outcome::NotRun);
    sim.executors.values_mut().for_each(|executor| executor.mode = Mode::Work);
    sim.run(Span::from_secs(5));
    let work = work.within(Span::from_secs(5));
    let waiters: Vec<_> = (0..3).map(|vm| submit(&mut sim, vm, &work, 10 + vm as u64)).collect();
    sim.run(Span::from_secs(6));
    assert!(waiters.iter().all(|waiter| complete(&sim, *waiter)));
    assert_eq!(sim.starts.len(), 1);
}

#[test]
fn a_key_whose_home_was_killed_does_not_run_again() {
    let mut sim = sim();
    sim.executors.values_mut().for_each(|executor| executor.mode = Mode::NoResponse);
    let work = Work::single("a", false);
    submit(&mut sim, 0, &work, 1);
    sim.run(Span::from_millis(100));
    let home = sim.at(0).unwrap();
    sim.kill(home);
    sim.boot(0);
    sim.run(Span::from_secs(4));
    let waiter = submit(&mut sim, 0, &work, 2);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
    assert_eq!(sim.starts.len(), 1);
}

#[test]
fn a_key_is_answered_by_the_successor_after_a_drain() {
    let mut sim = sim();
    let work = Work::single("a", false);
    submit(&mut sim, 0, &work, 1);
    sim.run(Span::from_secs(1));
    let home = sim.at(0).unwrap();
    sim.tell(home, Event::Drain);
    sim.run(Span::from_secs(2));
    let waiters = [1, 2].map(|vm| submit(&mut sim, vm, &work, 10));
    sim.run(Span::from_secs(2));
    assert!(waiters.iter().all(|waiter| complete(&sim, *waiter)));
    assert_eq!(sim.starts.len(), 1);
}
