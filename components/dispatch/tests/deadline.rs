//! Every caller gets exactly one final answer by its deadline.

mod common;

use common::{Mode, Shape, Simulation, Work, id};
use site::{submission::Answer, unit::Span};

/// Two entries; the executors never respond.
fn silent() -> Simulation {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    sim.executors.values_mut().for_each(|executor| executor.mode = Mode::NoResponse);
    sim
}

/// Breaks the connection between the two entries repeatedly.
fn flap(sim: &mut Simulation, times: usize) {
    for _ in 0..times {
        sim.run(Span::from_millis(70));
        sim.drop_connection(0, 1);
        sim.connect_all();
    }
}

#[test]
fn a_forwarded_request_is_answered_in_time_while_its_connection_flaps() {
    let mut sim = silent();
    let work = Work::single("a", false).within(Span::from_secs(1));
    let id = id(sim.entry(1).own_token(), 1);
    let (via, home) = (sim.at(0).unwrap(), sim.at(1).unwrap());
    let waiter = sim.submit(via, &work, id);
    sim.pause(home);
    flap(&mut sim, 20);
    sim.run(Span::from_secs(2));
    assert!(sim.checker.answer_of(waiter).is_some());
}

#[test]
fn a_forwarded_fetch_is_answered_in_time_while_its_connection_flaps() {
    let mut sim = silent();
    let work = Work::single("a", false).within(Span::from_secs(5));
    let id = id(sim.entry(1).own_token(), 1);
    let (via, home) = (sim.at(0).unwrap(), sim.at(1).unwrap());
    sim.submit(home, &work, id);
    let brief = work.clone().within(Span::from_millis(500));
    let waiter = sim.fetch(via, &brief, id, 0);
    flap(&mut sim, 20);
    sim.run(Span::from_secs(6));
    assert!(sim.checker.answer_of(waiter).is_some());
}

#[test]
fn a_resubmission_with_less_time_is_answered_by_its_own_deadline() {
    let mut sim = silent();
    let work = Work::single("a", false);
    let id = id(sim.entry(0).own_token(), 1);
    let home = sim.at(0).unwrap();
    sim.submit(home, &work, id);
    let waiter = sim.submit(home, &work.clone().within(Span::from_millis(500)), id);
    sim.run(Span::from_secs(1));
    assert!(matches!(sim.checker.answer_of(waiter), Some(Answer::Failed(_))));
}

#[test]
fn a_process_that_resumes_late_starts_no_task_past_its_deadline() {
    let mut sim = Simulation::new(Shape { executors: 1, slots: 1, ..Shape::default() }, 1, 1);
    let work = Work::job("a", 3).within(Span::from_secs(1));
    let id = id(sim.entry(0).own_token(), 1);
    let home = sim.at(0).unwrap();
    sim.submit(home, &work, id);
    sim.run(Span::from_millis(20));
    sim.pause(home);
    sim.run(Span::from_secs(5));
    sim.resume(home);
    sim.run(Span::from_secs(1));
    assert_eq!(sim.starts.len(), 1);
}
