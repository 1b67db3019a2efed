//! Cancellations.

mod common;

use common::{Shape, Simulation, Work, id};
use dispatch::Event;
use site::{
    id::WaiterId,
    submission::{Answer, Failure, Outcome, Reason},
    unit::Span,
};

fn failure(sim: &Simulation, waiter: WaiterId) -> Failure {
    match sim.checker.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

#[test]
fn a_job_cancelled_in_the_queue_is_reported_as_not_run_and_never_starts() {
    let mut sim = Simulation::new(Shape { executors: 1, slots: 1, ..Shape::default() }, 1, 1);
    let home = sim.at(0).unwrap();
    let token = sim.entry(0).own_token();
    let work = Work::job("b", 2);
    sim.submit(home, &Work::job("a", 2), id(token, 1));
    sim.submit(home, &work, id(token, 2));
    let waiter = sim.cancel(home, &work, id(token, 2));
    sim.run(Span::from_secs(3));
    let failure = failure(&sim, waiter);
    assert_eq!((failure.outcome, failure.reason), (Outcome::NotRun, Reason::Cancelled));
    assert_eq!(sim.starts.len(), 2);
}

#[test]
fn a_job_cancelled_while_running_is_reported_as_may_have_run() {
    let mut sim = Simulation::new(Shape::default(), 1, 1);
    let home = sim.at(0).unwrap();
    let (work, id) = (Work::job("a", 9), id(sim.entry(0).own_token(), 1));
    sim.submit(home, &work, id);
    sim.run(Span::from_millis(20));
    let waiter = sim.cancel(home, &work, id);
    sim.run(Span::from_secs(3));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
    assert_eq!(sim.starts.len(), 4);
}

#[test]
fn a_late_cancellation_returns_the_actual_answer() {
    let mut sim = Simulation::new(Shape::default(), 1, 1);
    let home = sim.at(0).unwrap();
    let (work, id) = (Work::job("a", 2), id(sim.entry(0).own_token(), 1));
    sim.submit(home, &work, id);
    sim.run(Span::from_secs(1));
    let waiter = sim.cancel(home, &work, id);
    assert!(matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_))));
}

#[test]
fn a_cancellation_that_arrives_before_its_submission_prevents_it_from_running() {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    let (via, home) = (sim.at(1).unwrap(), sim.at(0).unwrap());
    let (work, id) = (Work::job("a", 2), id(sim.entry(0).own_token(), 1));
    sim.submit(via, &work, id);
    // The submission is in transit to its home.
    let waiter = sim.cancel(home, &work, id);
    sim.run(Span::from_secs(2));
    let told = failure(&sim, waiter).outcome;
    assert!(told != Outcome::NotRun || sim.starts.is_empty(), "{told:?}, but a task began");
}

#[test]
fn many_cancellations_free_all_slots() {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    let home = sim.at(0).unwrap();
    let token = sim.entry(0).own_token();
    let works: Vec<_> = (0..20).map(|number| Work::job(&format!("{number}"), 5)).collect();
    for (unique, work) in (0..).zip(&works) {
        sim.submit(home, work, id(token, unique));
    }
    sim.run(Span::from_millis(20));
    for (unique, work) in (0..).zip(&works) {
        sim.cancel(home, work, id(token, unique));
    }
    sim.run(Span::from_millis(200));
    assert_eq!(sim.entry(0).open_submissions(), 0);
    let waiter = sim.submit(home, &Work::job("after", 4), id(token, 99));
    sim.run(Span::from_millis(100));
    assert!(matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_))));
}

#[test]
fn an_abandoned_keyed_request_does_not_delay_a_drain() {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    let (first, second) = (sim.at(0).unwrap(), sim.at(1).unwrap());
    sim.executors.values_mut().for_each(|x| x.mode = common::Mode::NoResponse);
    let work = Work::job("a", 2);
    let fresh = id(sim.entry(0).own_token(), 1);
    sim.submit_keyed(first, &work, fresh);
    sim.run(Span::from_millis(50));
    let other = id(sim.entry(1).own_token(), 1);
    let waiter = sim.submit_keyed(second, &work, other);
    sim.run(Span::from_millis(50));
    sim.checker.abandon(waiter);
    sim.tell(second, Event::Abandon { waiter, id: other });
    sim.tell(second, Event::Drain);
    sim.run(Span::from_secs(3));
    assert!(sim.checker.exited.contains(&second));
}
