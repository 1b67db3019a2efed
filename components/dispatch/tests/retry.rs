//! Which ended attempts are retried, and what is reported for those that are not.

mod common;

use common::{Mode, Shape, Simulation, Work, id};
use dispatch::Event;
use site::{
    id::{Home, SubmissionId, WaiterId},
    submission::{Answer, Failure, Outcome},
    unit::Span,
};

fn sim(entries: usize) -> Simulation {
    Simulation::new(Shape::default(), entries, entries as u32)
}

fn set(sim: &mut Simulation, mode: Mode) {
    sim.executors.values_mut().for_each(|executor| executor.mode = mode);
}

fn failure(sim: &Simulation, waiter: WaiterId) -> Failure {
    match sim.checker.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

/// Submits a request that begins at its home, then kills and replaces the home.
fn submit_and_kill_home(sim: &mut Simulation, work: &Work) -> (Home, SubmissionId) {
    let home = sim.at(0).unwrap();
    let id = id(sim.entry(0).own_token(), 1);
    set(sim, Mode::NoResponse);
    sim.submit(home, work, id);
    sim.run(Span::from_millis(100));
    assert_eq!(sim.starts.len(), 1);
    sim.kill(home);
    sim.boot(0);
    sim.run(Span::from_secs(4));
    (home, id)
}

#[test]
fn a_repeatable_request_runs_again_elsewhere_once_its_home_is_gone() {
    let mut sim = sim(3);
    let work = Work::single("a", true);
    let (_, id) = submit_and_kill_home(&mut sim, &work);
    set(&mut sim, Mode::Work);
    let via = sim.at(1).unwrap();
    let waiter = sim.submit(via, &work, id);
    sim.run(Span::from_secs(2));
    assert!(matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_))));
}

#[test]
fn a_forwarded_repeatable_request_runs_again_at_any_entry_once_its_home_is_gone() {
    for unique in 1..=24 {
        let mut sim = sim(2);
        let home = sim.at(0).unwrap();
        let id = id(sim.entry(0).own_token(), unique);
        set(&mut sim, Mode::NoResponse);
        let via = sim.at(1).unwrap();
        let waiter = sim.submit(via, &Work::single("a", true), id);
        sim.run(Span::from_millis(100));
        sim.kill(home);
        set(&mut sim, Mode::Work);
        sim.boot(0);
        sim.run(Span::from_secs(6));
        let answer = sim.checker.answer_of(waiter);
        assert!(matches!(answer, Some(Answer::Complete(_))), "{unique}: {answer:?}");
    }
}

#[test]
fn a_request_that_is_not_repeatable_never_runs_again_elsewhere() {
    let mut sim = sim(3);
    let work = Work::single("a", false);
    let (_, id) = submit_and_kill_home(&mut sim, &work);
    set(&mut sim, Mode::Work);
    let via = sim.at(1).unwrap();
    let waiter = sim.submit(via, &work, id);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
    assert_eq!(sim.starts.len(), 1);
}

#[test]
fn a_moved_request_that_is_rejected_is_not_reported_as_not_run() {
    let mut sim = sim(3);
    let work = Work::single("a", true);
    let (_, id) = submit_and_kill_home(&mut sim, &work);
    set(&mut sim, Mode::Down);
    let via = sim.at(1).unwrap();
    let waiter = sim.submit(via, &work, id);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_moved_request_that_is_cancelled_in_the_queue_is_not_reported_as_not_run() {
    let mut sim = sim(3);
    let work = Work::single("a", true);
    let (_, id) = submit_and_kill_home(&mut sim, &work);
    let via = sim.at(1).unwrap();
    let filler = common::id(sim.entry(1).own_token(), 9);
    sim.submit(via, &Work::job("filler", 8), filler);
    sim.run(Span::from_millis(50));
    sim.submit(via, &work, id);
    sim.run(Span::from_millis(50));
    let waiter = sim.cancel(via, &work, id);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_moved_request_that_a_draining_entry_rejects_is_not_reported_as_not_run() {
    let mut sim = sim(2);
    let work = Work::single("a", true);
    let (home, id) = submit_and_kill_home(&mut sim, &work);
    let other = sim.at(0).unwrap();
    sim.kill(other);
    sim.run(Span::from_secs(4));
    let _ = home;
    let via = sim.at(1).unwrap();
    let filler = common::id(sim.entry(1).own_token(), 9);
    sim.submit(via, &Work::job("filler", 1), filler);
    sim.tell(via, Event::Drain);
    let waiter = sim.submit(via, &work, id);
    sim.run(Span::from_secs(8));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_resumed_home_does_not_report_not_run_for_what_its_replacement_ran() {
    let mut sim = sim(3);
    let home = sim.at(0).unwrap();
    let work = Work::single("a", true).within(Span::from_millis(500));
    let fresh = id(sim.entry(0).own_token(), 1);
    let waiter = sim.submit_keyed(home, &work, fresh);
    sim.pause(home);
    let next = sim.boot(0);
    let other = id(sim.entry(0).own_token(), 2);
    sim.run(Span::from_millis(20));
    sim.submit_keyed(next, &work, other);
    sim.run(Span::from_secs(3));
    let ran = !sim.starts.is_empty();
    sim.executors.values_mut().for_each(|executor| executor.mode = Mode::Down);
    sim.resume(home);
    sim.run(Span::from_secs(1));
    assert!(!ran || failure(&sim, waiter).outcome == Outcome::MayHaveRun);
}
