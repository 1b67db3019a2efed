//! Whether an ended attempt is repeated, and what is said of one that is not.

mod common;

use common::{Mode, Shape, Work, World, id};
use dispatch::Event;
use site::{
    id::{Home, SubmissionId, WaiterId},
    submission::{Answer, Failure, Outcome},
    unit::Span,
};

fn world(entries: usize) -> World {
    World::new(Shape::default(), entries, entries as u32)
}

fn set(world: &mut World, mode: Mode) {
    world.executors.values_mut().for_each(|executor| executor.mode = mode);
}

fn failure(world: &World, waiter: WaiterId) -> Failure {
    match world.book.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

/// A repeatable request that began at its home, which is then killed and replaced.
fn orphan(world: &mut World, work: &Work) -> (Home, SubmissionId) {
    let home = world.at(0).unwrap();
    let id = id(world.entry(0).own_token(), 1);
    set(world, Mode::Silent);
    world.submit(home, work, id);
    world.run(Span::from_millis(100));
    assert_eq!(world.ledger.len(), 1);
    world.kill(home);
    world.boot(0);
    world.run(Span::from_secs(4));
    (home, id)
}

#[test]
fn a_repeatable_request_runs_again_elsewhere_once_its_home_is_gone() {
    let mut world = world(3);
    let work = Work::single("a", true);
    let (_, id) = orphan(&mut world, &work);
    set(&mut world, Mode::Work);
    let via = world.at(1).unwrap();
    let waiter = world.submit(via, &work, id);
    world.run(Span::from_secs(2));
    assert!(matches!(world.book.answer_of(waiter), Some(Answer::Complete(_))));
}

#[test]
fn a_forwarded_repeatable_request_runs_again_wherever_it_is_sent_once_its_home_is_gone() {
    for unique in 1..=24 {
        let mut world = world(2);
        let home = world.at(0).unwrap();
        let id = id(world.entry(0).own_token(), unique);
        set(&mut world, Mode::Silent);
        let via = world.at(1).unwrap();
        let waiter = world.submit(via, &Work::single("a", true), id);
        world.run(Span::from_millis(100));
        world.kill(home);
        set(&mut world, Mode::Work);
        world.boot(0);
        world.run(Span::from_secs(6));
        let answer = world.book.answer_of(waiter);
        assert!(matches!(answer, Some(Answer::Complete(_))), "{unique}: {answer:?}");
    }
}

#[test]
fn a_request_that_is_not_repeatable_never_runs_again_elsewhere() {
    let mut world = world(3);
    let work = Work::single("a", false);
    let (_, id) = orphan(&mut world, &work);
    set(&mut world, Mode::Work);
    let via = world.at(1).unwrap();
    let waiter = world.submit(via, &work, id);
    world.run(Span::from_secs(6));
    assert_eq!(failure(&world, waiter).outcome, Outcome::MayHaveRun);
    assert_eq!(world.ledger.len(), 1);
}

#[test]
fn a_moved_request_that_is_refused_is_not_said_not_to_have_run() {
    let mut world = world(3);
    let work = Work::single("a", true);
    let (_, id) = orphan(&mut world, &work);
    set(&mut world, Mode::Down);
    let via = world.at(1).unwrap();
    let waiter = world.submit(via, &work, id);
    world.run(Span::from_secs(6));
    assert_eq!(failure(&world, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_moved_request_that_is_cancelled_in_the_queue_is_not_said_not_to_have_run() {
    let mut world = world(3);
    let work = Work::single("a", true);
    let (_, id) = orphan(&mut world, &work);
    let via = world.at(1).unwrap();
    let filler = common::id(world.entry(1).own_token(), 9);
    world.submit(via, &Work::job("filler", 8), filler);
    world.run(Span::from_millis(50));
    world.submit(via, &work, id);
    world.run(Span::from_millis(50));
    let waiter = world.cancel(via, &work, id);
    world.run(Span::from_secs(6));
    assert_eq!(failure(&world, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_moved_request_that_a_stopping_entry_refuses_is_not_said_not_to_have_run() {
    let mut world = world(2);
    let work = Work::single("a", true);
    let (home, id) = orphan(&mut world, &work);
    let other = world.at(0).unwrap();
    world.kill(other);
    world.run(Span::from_secs(4));
    let _ = home;
    let via = world.at(1).unwrap();
    let filler = common::id(world.entry(1).own_token(), 9);
    world.submit(via, &Work::job("filler", 1), filler);
    world.tell(via, Event::Drain);
    let waiter = world.submit(via, &work, id);
    world.run(Span::from_secs(8));
    assert_eq!(failure(&world, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_home_that_wakes_does_not_deny_what_its_replacement_ran() {
    let mut world = world(3);
    let home = world.at(0).unwrap();
    let work = Work::single("a", true).within(Span::from_millis(500));
    let fresh = id(world.entry(0).own_token(), 1);
    let waiter = world.submit_keyed(home, &work, fresh);
    world.freeze(home);
    let next = world.boot(0);
    let other = id(world.entry(0).own_token(), 2);
    world.run(Span::from_millis(20));
    world.submit_keyed(next, &work, other);
    world.run(Span::from_secs(3));
    let ran = !world.ledger.is_empty();
    world.executors.values_mut().for_each(|executor| executor.mode = Mode::Down);
    world.thaw(home);
    world.run(Span::from_secs(1));
    assert!(!ran || failure(&world, waiter).outcome == Outcome::MayHaveRun);
}
