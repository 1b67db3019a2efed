//! A planned drain interrupts no request, and finished submissions are known afterwards.

mod common;

use common::{Mode, Shape, Simulation, Work, id};
use dispatch::{Event, Message, message::Handover};
use site::{
    id::{Home, SubmissionId},
    submission::{Answer, Failure, Outcome, Reason},
    unit::Span,
};

fn sim(entries: usize) -> Simulation {
    Simulation::new(Shape::default(), entries, entries as u32)
}

fn stop(sim: &mut Simulation, vm: usize) -> Home {
    let home = sim.at(vm).unwrap();
    sim.tell(home, Event::Drain);
    home
}

/// Submits a request at its home and waits for the answer.
fn finish(sim: &mut Simulation, vm: usize, work: &Work) -> SubmissionId {
    let id = id(sim.entry(vm).own_token(), 1);
    let home = sim.at(vm).unwrap();
    let waiter = sim.submit(home, work, id);
    sim.run(Span::from_secs(1));
    assert!(complete(sim, waiter));
    id
}

fn complete(sim: &Simulation, waiter: site::id::WaiterId) -> bool {
    matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_)))
}

fn failure(sim: &Simulation, waiter: site::id::WaiterId) -> Failure {
    match sim.checker.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

#[test]
fn a_finished_answer_is_available_from_the_successor_and_through_other_entries() {
    let mut sim = sim(3);
    let work = Work::job("a", 3);
    let id = finish(&mut sim, 0, &work);
    let home = stop(&mut sim, 0);
    sim.run(Span::from_secs(1));
    assert!(sim.checker.exited.contains(&home));
    for vm in [1, 2] {
        let via = sim.at(vm).unwrap();
        let waiter = sim.submit(via, &work, id);
        sim.run(Span::from_secs(1));
        assert!(complete(&sim, waiter), "via {vm}: {:?}", sim.checker.answer_of(waiter));
    }
    assert_eq!(sim.starts.len(), 3);
}

#[test]
fn queued_tasks_finish_before_a_drained_entry_exits() {
    let mut sim = sim(3);
    let work = Work::job("a", 12);
    let home = sim.at(0).unwrap();
    let id = id(sim.entry(0).own_token(), 1);
    let waiter = sim.submit(home, &work, id);
    stop(&mut sim, 0);
    sim.run(Span::from_secs(5));
    assert!(complete(&sim, waiter));
    assert!(sim.checker.exited.contains(&home));
}

#[test]
fn queued_tasks_finish_when_the_only_entry_drains() {
    let mut sim = sim(1);
    let work = Work::job("a", 12);
    let home = sim.at(0).unwrap();
    let id = id(sim.entry(0).own_token(), 1);
    let waiter = sim.submit(home, &work, id);
    stop(&mut sim, 0);
    sim.run(Span::from_secs(6));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

#[test]
fn queued_tasks_finish_when_all_entries_drain_at_once() {
    let mut sim = sim(3);
    let work = Work::job("a", 12);
    let home = sim.at(0).unwrap();
    let id = id(sim.entry(0).own_token(), 1);
    let waiter = sim.submit(home, &work, id);
    for vm in 0..3 {
        stop(&mut sim, vm);
    }
    sim.run(Span::from_secs(6));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

#[test]
fn a_finished_answer_survives_two_drains_in_a_row() {
    let mut sim = sim(3);
    let work = Work::job("a", 3);
    let id = finish(&mut sim, 0, &work);
    stop(&mut sim, 0);
    sim.run(Span::from_secs(2));
    let successor =
        if sim.entry(1).overview().open == 0 && knows(&mut sim, 1, &work, id) { 1 } else { 2 };
    stop(&mut sim, successor);
    sim.run(Span::from_secs(2));
    let via = sim.at(3 - successor).unwrap();
    let waiter = sim.submit(via, &work, id);
    sim.run(Span::from_secs(1));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

/// Returns whether the entry itself holds the table of the submission's home.
fn knows(sim: &mut Simulation, vm: usize, work: &Work, id: SubmissionId) -> bool {
    let via = sim.at(vm).unwrap();
    let before = sim.log.len();
    let _ = sim.submit(via, work, id);
    let forwarded =
        sim.log[before..].iter().any(|(_, _, d)| matches!(d, dispatch::Decision::Forward { .. }));
    sim.run(Span::from_millis(100));
    !forwarded
}

#[test]
fn tables_of_two_entries_that_drain_at_once_reach_the_third() {
    let mut sim = sim(3);
    let works = [Work::job("a", 3), Work::job("b", 3)];
    let ids: Vec<_> = (0..2).map(|vm| finish(&mut sim, vm, &works[vm])).collect();
    stop(&mut sim, 0);
    stop(&mut sim, 1);
    sim.run(Span::from_secs(15));
    for (work, id) in works.iter().zip(ids) {
        let via = sim.at(2).unwrap();
        let waiter = sim.submit(via, work, id);
        sim.run(Span::from_secs(1));
        assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
    }
}

#[test]
fn a_handover_goes_on_after_a_connection_breaks() {
    let mut sim = sim(2);
    let work = Work::job("a", 3);
    let id = finish(&mut sim, 0, &work);
    stop(&mut sim, 0);
    sim.drop_connection(0, 1);
    sim.connect_all();
    sim.run(Span::from_secs(3));
    let via = sim.at(1).unwrap();
    let waiter = sim.submit(via, &work, id);
    sim.run(Span::from_secs(1));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

#[test]
fn an_incomplete_table_is_not_treated_as_complete() {
    let mut sim = sim(2);
    let work = Work::job("a", 3);
    let id = finish(&mut sim, 0, &work);
    let (from, to) = (sim.at(0).unwrap(), sim.at(1).unwrap());
    sim.kill(from);
    let last =
        Handover { home: from, part: 1, last: true, tables: Vec::new(), records: Vec::new() };
    sim.tell(to, Event::Message { from, message: Message::Handover(last) });
    let waiter = sim.submit(to, &work, id);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_request_forwarded_during_a_handover_is_answered_before_the_exit() {
    let mut sim = sim(3);
    sim.executors.values_mut().for_each(|x| x.run_time = Span::from_millis(300));
    let work = Work::job("a", 3);
    let other = id(sim.entry(1).own_token(), 7);
    let home = stop(&mut sim, 0);
    let waiter = sim.submit(home, &work, other);
    sim.run(Span::from_secs(6));
    assert!(sim.checker.answer_of(waiter).is_some());
    assert!(sim.checker.exited.contains(&home));
}

#[test]
fn a_keyed_request_during_a_handover_is_answered_before_the_exit() {
    let mut sim = sim(3);
    let work = Work::job("a", 3);
    let fresh = id(sim.entry(0).own_token(), 7);
    let home = stop(&mut sim, 0);
    let waiter = sim.submit_keyed(home, &work, fresh);
    sim.run(Span::from_secs(6));
    assert!(sim.checker.answer_of(waiter).is_some());
}

#[test]
fn the_successor_does_not_report_not_run_for_a_forgotten_submission() {
    let mut sim = sim(2);
    let work = Work::job("a", 3);
    let id = finish(&mut sim, 0, &work);
    sim.run(Span::from_secs(150));
    stop(&mut sim, 0);
    sim.run(Span::from_secs(1));
    let via = sim.at(1).unwrap();
    let waiter = sim.submit(via, &work, id);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).outcome, Outcome::MayHaveRun);
}

#[test]
fn a_reused_identifier_is_a_conflict_at_the_successor() {
    let mut sim = sim(2);
    let id = finish(&mut sim, 0, &Work::job("a", 3));
    stop(&mut sim, 0);
    sim.run(Span::from_secs(1));
    let via = sim.at(1).unwrap();
    let waiter = sim.submit(via, &Work::job("b", 3), id);
    sim.run(Span::from_secs(1));
    assert_eq!(failure(&sim, waiter).reason, Reason::Conflict);
}

#[test]
fn a_reused_identifier_is_a_conflict_while_the_home_drains() {
    let mut sim = sim(2);
    let id = finish(&mut sim, 0, &Work::job("a", 3));
    sim.executors.values_mut().for_each(|x| x.mode = Mode::NoResponse);
    let home = sim.at(0).unwrap();
    let open = common::id(sim.entry(0).own_token(), 2);
    let _ = sim.submit(home, &Work::job("open", 1), open);
    stop(&mut sim, 0);
    let waiter = sim.submit(home, &Work::job("b", 3), id);
    sim.run(Span::from_secs(6));
    assert_eq!(failure(&sim, waiter).reason, Reason::Conflict);
}
