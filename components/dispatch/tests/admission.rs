//! Rejections: sent at once, with a correct reason.

mod common;

use common::{Mode, Shape, Simulation, Work, id};
use site::{
    id::{ServiceId, WaiterId},
    submission::{Answer, Failure, Outcome, Reason},
    unit::{Revision, Span},
};
use std::sync::Arc;

fn sim(executors: usize) -> Simulation {
    Simulation::new(Shape { executors, ..Shape::default() }, 1, 1)
}

fn submit(sim: &mut Simulation, work: &Work, unique: u64) -> WaiterId {
    let id = id(sim.entry(0).own_token(), unique);
    let home = sim.at(0).unwrap();
    sim.submit(home, work, id)
}

fn failure(sim: &Simulation, waiter: WaiterId) -> Failure {
    match sim.checker.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

#[test]
fn a_job_that_cannot_meet_its_deadline_is_rejected_at_once_with_a_retry_delay() {
    let mut sim = sim(1);
    submit(&mut sim, &Work::job("a", 50), 1);
    let waiter = submit(&mut sim, &Work::job("b", 50).within(Span::from_secs(1)), 2);
    let refused = failure(&sim, waiter);
    assert_eq!((refused.outcome, refused.reason), (Outcome::NotRun, Reason::Overload));
    assert!(refused.retry_after.is_some_and(|after| after > Span::from_millis(500)));
}

#[test]
fn a_rejection_is_repeated_for_a_resubmission() {
    let mut sim = sim(1);
    submit(&mut sim, &Work::job("a", 50), 1);
    let late = Work::job("b", 50).within(Span::from_secs(1));
    let first = submit(&mut sim, &late, 2);
    sim.run(Span::from_secs(4));
    let second = submit(&mut sim, &late, 2);
    assert_eq!(failure(&sim, first), failure(&sim, second));
    assert_eq!(sim.starts.len(), 50);
}

#[test]
fn a_job_without_an_executor_is_rejected_at_once() {
    let mut sim = sim(1);
    sim.configure(Shape { absent: vec![0], executors: 1, ..Shape::default() }, Revision(2), &[0]);
    let waiter = submit(&mut sim, &Work::job("a", 1), 1);
    assert_eq!(failure(&sim, waiter).outcome, Outcome::NotRun);
}

#[test]
fn a_service_without_a_contract_is_rejected() {
    let mut sim = sim(1);
    let home = sim.at(0).unwrap();
    let work = Work::job("a", 1);
    let mut submission = work.submission(id(sim.entry(0).own_token(), 1));
    Arc::make_mut(&mut submission).service = ServiceId::of("unknown");
    let waiter = sim.checker.add_submit(sim.now, home, &work, work.deadline);
    sim.tell(home, dispatch::Event::Submit { waiter, submission });
    let refused = failure(&sim, waiter);
    assert_eq!((refused.outcome, refused.reason), (Outcome::NotRun, Reason::NoContract));
}

#[test]
fn a_job_without_tasks_is_rejected() {
    let mut sim = sim(1);
    let waiter = submit(&mut sim, &Work::job("a", 0), 1);
    assert_eq!(failure(&sim, waiter).reason, Reason::Size);
}

#[test]
fn a_job_that_no_executor_accepts_is_given_up_as_not_run() {
    let mut sim = sim(2);
    sim.executors.values_mut().for_each(|executor| executor.mode = Mode::Down);
    let waiter = submit(&mut sim, &Work::job("a", 3), 1);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::NotRun);
}

#[test]
fn an_identifier_of_a_forgotten_epoch_is_not_admitted() {
    let mut sim = sim(1);
    let work = Work::job("a", 1);
    let old = id(sim.entry(0).own_token(), 1);
    let home = sim.at(0).unwrap();
    sim.submit(home, &work, old);
    sim.run(Span::from_secs(200));
    let waiter = sim.submit(home, &work, old);
    let refused = failure(&sim, waiter);
    assert_eq!((refused.outcome, refused.reason), (Outcome::MayHaveRun, Reason::Expired));
    assert_eq!(sim.starts.len(), 1);
}

#[test]
fn an_identifier_of_a_future_epoch_is_not_admitted() {
    let mut sim = sim(1);
    let mut token = sim.entry(0).own_token();
    token.epoch += 5;
    let home = sim.at(0).unwrap();
    let waiter = sim.submit(home, &Work::job("a", 1), id(token, 1));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::NotRun);
    assert!(sim.starts.is_empty());
}

#[test]
fn firms_of_equal_weight_share_evenly_while_both_have_queued_tasks() {
    let mut sim = sim(2);
    submit(&mut sim, &Work::job("a", 50), 1);
    submit(&mut sim, &Work::job("b", 50).of(1), 2);
    sim.run(Span::from_millis(1_000));
    let of = |name: &str| {
        let own = sim.starts.iter().filter(|began| began.body.starts_with(name.as_bytes()));
        own.count()
    };
    let (ours, theirs) = (of("kitchens"), of("hotels"));
    assert!(ours.abs_diff(theirs) <= 4, "{ours} and {theirs}");
}
