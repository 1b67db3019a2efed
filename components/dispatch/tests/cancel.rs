//! Cancellations.

mod common;

use common::{Shape, Work, World, id};
use dispatch::Event;
use site::{
    id::WaiterId,
    submission::{Answer, Failure, Outcome, Reason},
    unit::Span,
};

fn failure(world: &World, waiter: WaiterId) -> Failure {
    match world.book.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

#[test]
fn what_was_cancelled_in_the_queue_did_not_run_and_never_does() {
    let mut world = World::new(Shape { executors: 1, slots: 1, ..Shape::default() }, 1, 1);
    let home = world.at(0).unwrap();
    let token = world.entry(0).own_token();
    let work = Work::job("b", 2);
    world.submit(home, &Work::job("a", 2), id(token, 1));
    world.submit(home, &work, id(token, 2));
    let waiter = world.cancel(home, &work, id(token, 2));
    world.run(Span::from_secs(3));
    let failure = failure(&world, waiter);
    assert_eq!((failure.outcome, failure.reason), (Outcome::NotRun, Reason::Cancelled));
    assert_eq!(world.ledger.len(), 2);
}

#[test]
fn what_was_cancelled_while_it_ran_may_have_run() {
    let mut world = World::new(Shape::default(), 1, 1);
    let home = world.at(0).unwrap();
    let (work, id) = (Work::job("a", 9), id(world.entry(0).own_token(), 1));
    world.submit(home, &work, id);
    world.run(Span::from_millis(20));
    let waiter = world.cancel(home, &work, id);
    world.run(Span::from_secs(3));
    assert_eq!(failure(&world, waiter).outcome, Outcome::MayHaveRun);
    assert_eq!(world.ledger.len(), 4);
}

#[test]
fn a_cancellation_that_comes_too_late_gets_the_real_answer() {
    let mut world = World::new(Shape::default(), 1, 1);
    let home = world.at(0).unwrap();
    let (work, id) = (Work::job("a", 2), id(world.entry(0).own_token(), 1));
    world.submit(home, &work, id);
    world.run(Span::from_secs(1));
    let waiter = world.cancel(home, &work, id);
    assert!(matches!(world.book.answer_of(waiter), Some(Answer::Complete(_))));
}

#[test]
fn a_cancellation_that_overtakes_its_submission_keeps_it_from_running() {
    let mut world = World::new(Shape::default(), 2, 2);
    let (via, home) = (world.at(1).unwrap(), world.at(0).unwrap());
    let (work, id) = (Work::job("a", 2), id(world.entry(0).own_token(), 1));
    world.submit(via, &work, id);
    // The submission is on its way to its home.
    let waiter = world.cancel(home, &work, id);
    world.run(Span::from_secs(2));
    let told = failure(&world, waiter).outcome;
    assert!(told != Outcome::NotRun || world.ledger.is_empty(), "{told:?}, and it began");
}

#[test]
fn a_wave_of_cancellations_frees_all_slots() {
    let mut world = World::new(Shape::default(), 2, 2);
    let home = world.at(0).unwrap();
    let token = world.entry(0).own_token();
    let works: Vec<_> = (0..20).map(|number| Work::job(&format!("{number}"), 5)).collect();
    for (unique, work) in (0..).zip(&works) {
        world.submit(home, work, id(token, unique));
    }
    world.run(Span::from_millis(20));
    for (unique, work) in (0..).zip(&works) {
        world.cancel(home, work, id(token, unique));
    }
    world.run(Span::from_millis(200));
    assert_eq!(world.entry(0).open_submissions(), 0);
    let waiter = world.submit(home, &Work::job("after", 4), id(token, 99));
    world.run(Span::from_millis(100));
    assert!(matches!(world.book.answer_of(waiter), Some(Answer::Complete(_))));
}

#[test]
fn a_keyed_caller_that_left_does_not_hold_up_a_stop() {
    let mut world = World::new(Shape::default(), 2, 2);
    let (first, second) = (world.at(0).unwrap(), world.at(1).unwrap());
    world.executors.values_mut().for_each(|x| x.mode = common::Mode::Silent);
    let work = Work::job("a", 2);
    let fresh = id(world.entry(0).own_token(), 1);
    world.submit_keyed(first, &work, fresh);
    world.run(Span::from_millis(50));
    let other = id(world.entry(1).own_token(), 1);
    let waiter = world.submit_keyed(second, &work, other);
    world.run(Span::from_millis(50));
    world.book.leave(waiter);
    world.tell(second, Event::Abandon { waiter, id: other });
    world.tell(second, Event::Drain);
    world.run(Span::from_secs(3));
    assert!(world.book.exited.contains(&second));
}
