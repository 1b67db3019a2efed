//! A repeatable request runs elsewhere only when its home is gone, and no entry then reports it as
//! not run.

mod common;

use common::{Shape, Simulation, Work, id};
use dispatch::Event;
use site::{
    id::{Home, SubmissionId, WaiterId},
    submission::{Answer, Failure, Outcome},
    unit::Span,
};

fn sim() -> Simulation {
    Simulation::new(Shape::default(), 3, 2)
}

fn denied(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Answer::Failed(Failure { outcome: Outcome::NotRun, .. })))
}

/// The home of the request is a new process on the VM of a paused one. It must not be considered
/// gone because messages of the paused process arrived until a moment ago.
#[test]
fn a_request_does_not_run_elsewhere_while_its_paused_home_is_not_known_to_be_gone() {
    let mut sim = sim();
    let before = sim.at(1).unwrap();
    sim.pause(before);
    sim.boot(1);
    let work = Work::single("a", true);
    let id = id(sim.entry(1).own_token(), 1);
    let via = sim.at(2).unwrap();
    // The checker rejects a start at any entry but the home, which is still live.
    sim.submit(via, &work, id);
    sim.run(Span::from_secs(6));
}

#[test]
fn a_successor_does_not_report_not_run_for_what_the_restarted_entry_ran() {
    let mut sim = sim();
    let stopped = sim.at(0).unwrap();
    let work = Work::single("a", true);
    let id = id(sim.entry(0).own_token(), 1);
    sim.tell(stopped, Event::Drain);
    sim.run(Span::from_millis(100));
    assert!(sim.checker.exited.contains(&stopped));
    let next = sim.boot(0);
    sim.submit(next, &work, id);
    sim.run(Span::from_secs(1));
    let ran = !sim.starts.is_empty();
    for vm in [1, 2] {
        let via = sim.at(vm).unwrap();
        let waiter = sim.submit(via, &work, id);
        sim.run(Span::from_secs(6));
        assert!(!ran || !denied(sim.checker.answer_of(waiter)));
    }
}

/// Submits a repeatable request of an entry that has stopped through one entry while `ask` asks
/// another one about it, and checks that what runs was not reported as not run.
fn check_asked_while_submitted(ask: fn(&mut Simulation, Home, &Work, SubmissionId) -> WaiterId) {
    for (submitting, asking) in [(1, 2), (2, 1)] {
        let mut sim = sim();
        let stopped = sim.at(0).unwrap();
        let id = id(sim.entry(0).own_token(), 1);
        sim.tell(stopped, Event::Drain);
        sim.run(Span::from_millis(100));
        assert!(sim.checker.exited.contains(&stopped));
        let work = Work::single("a", true);
        let (submitting, asking) = (sim.at(submitting).unwrap(), sim.at(asking).unwrap());
        sim.submit(submitting, &work, id);
        let waiter = ask(&mut sim, asking, &work, id);
        sim.run(Span::from_secs(6));
        let ran = !sim.starts.is_empty();
        assert!(!ran || !denied(sim.checker.answer_of(waiter)));
    }
}

#[test]
fn a_fetch_at_a_successor_does_not_report_not_run_for_a_request_in_transit() {
    check_asked_while_submitted(|sim, via, work, id| sim.fetch(via, work, id, 0));
}

#[test]
fn a_cancellation_at_a_successor_does_not_report_not_run_for_a_request_in_transit() {
    check_asked_while_submitted(|sim, via, work, id| sim.cancel(via, work, id));
}

/// The platform lists the VM of the paused home as removed, so the request runs elsewhere.
#[test]
fn a_cancellation_at_a_resumed_home_does_not_report_not_run_for_what_its_replacement_ran() {
    let mut sim = sim();
    let home = sim.at(0).unwrap();
    let id = id(sim.entry(0).own_token(), 1);
    sim.pause(home);
    sim.run(Span::from_secs(4));
    sim.platform.gone.push(home.entry);
    sim.publish();
    let work = Work::single("a", true);
    let via = sim.at(1).unwrap();
    sim.submit(via, &work, id);
    sim.run(Span::from_secs(1));
    assert_eq!(sim.starts.len(), 1);
    sim.resume(home);
    sim.run(Span::from_millis(10));
    let waiter = sim.cancel(home, &work, id);
    sim.run(Span::from_secs(6));
    assert!(!denied(sim.checker.answer_of(waiter)));
}
