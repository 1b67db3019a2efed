//! A submission is admitted once, by its home, and answered with all its outputs.

mod common;

use common::{Shape, Simulation, Work, id};
use site::{submission::Answer, unit::Span};

fn sim() -> Simulation {
    Simulation::new(Shape::default(), 2, 2)
}

#[test]
fn a_job_is_answered_with_all_outputs_and_every_task_starts_once() {
    let mut sim = sim();
    let (home, work) = (sim.at(0).unwrap(), Work::job("a", 9));
    let id = id(sim.entry(0).own_token(), 1);
    let waiter = sim.submit(home, &work, id);
    sim.run(Span::from_secs(3));
    assert!(matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_))));
    assert_eq!(sim.starts.len(), 9);
}

#[test]
fn a_resubmission_through_any_entry_starts_nothing_again() {
    let mut sim = sim();
    let work = Work::job("a", 4);
    let id = id(sim.entry(0).own_token(), 1);
    let calls: Vec<_> = (0..6)
        .map(|number| {
            let via = sim.at(number % 2).unwrap();
            sim.run(Span::from_millis(20));
            sim.submit(via, &work, id)
        })
        .collect();
    sim.run(Span::from_secs(3));
    for waiter in calls {
        assert!(matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_))));
    }
    assert_eq!(sim.starts.len(), 4);
}

/// The settings decide whether a request may be repeated, and may change between two submissions.
#[test]
fn a_resubmission_is_not_denied_after_its_service_became_repeatable() {
    for (before, after) in [(false, true), (true, false)] {
        let mut sim = sim();
        let id = id(sim.entry(0).own_token(), 1);
        let via = sim.at(1).unwrap();
        sim.submit(via, &Work::single("a", before), id);
        sim.run(Span::from_secs(1));
        let waiter = sim.submit(via, &Work::single("a", after), id);
        sim.run(Span::from_secs(1));
        let answer = sim.checker.answer_of(waiter);
        assert!(matches!(answer, Some(Answer::Complete(_))), "{answer:?}");
        assert_eq!(sim.starts.len(), 1);
    }
}
