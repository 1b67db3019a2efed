//! A job of which something has run does not fail because other attempts did not run.

mod common;

use common::{Mode, Shape, Simulation, Work, id};
use dispatch::Decision;
use site::{id::WaiterId, submission::Answer, unit::Span};

/// Time that the attempts of these tests have.
const DEADLINE: Span = Span::from_secs(30);

fn submit(sim: &mut Simulation, vm: usize, work: &Work) -> WaiterId {
    let via = sim.at(vm).unwrap();
    let id = id(sim.entry(vm).own_token(), 1);
    sim.submit(via, work, id)
}

fn set(sim: &mut Simulation, mode: Mode) {
    sim.executors.values_mut().for_each(|executor| executor.mode = mode);
}

fn assert_complete(sim: &Simulation, waiter: WaiterId) {
    let answer = sim.checker.answer_of(waiter);
    assert!(matches!(answer, Some(Answer::Complete(_))), "{answer:?}");
}

/// Another entry has filled all slots but one, since each considers itself the keeper.
#[test]
fn a_started_job_does_not_fail_because_executors_are_busy() {
    let shape = Shape { executors: 24, slots: 1, ..Shape::default() };
    let mut sim = Simulation::new(shape, 2, 2);
    sim.partition(0, 1);
    sim.run(Span::from_secs(3));
    sim.executors.values_mut().for_each(|executor| executor.run_time = Span::from_secs(1));
    submit(&mut sim, 0, &Work::job("a", 23).within(DEADLINE));
    sim.run(Span::from_millis(5));
    let waiter = submit(&mut sim, 1, &Work::job("b", 4).within(DEADLINE));
    sim.run(DEADLINE);
    assert_complete(&sim, waiter);
}

#[test]
fn a_started_job_does_not_fail_because_executors_refuse_connections() {
    let shape = Shape { executors: 24, slots: 8, ..Shape::default() };
    let mut sim = Simulation::new(shape, 1, 1);
    let waiter = submit(&mut sim, 0, &Work::job("a", 200).within(DEADLINE));
    sim.run(Span::from_millis(20));
    set(&mut sim, Mode::Down);
    sim.run(Span::from_secs(1));
    set(&mut sim, Mode::Work);
    sim.run(DEADLINE);
    assert_complete(&sim, waiter);
}

/// Returns the number of attempts within 9 s of a job that has started on one executor while the
/// others behave like `mode`.
fn attempts_of_a_started_job(mode: Mode) -> usize {
    let shape = Shape { executors: 24, slots: 8, ..Shape::default() };
    let mut sim = Simulation::new(shape, 1, 1);
    sim.executors.values_mut().for_each(|executor| executor.run_time = Span::from_secs(10));
    sim.executors.values_mut().skip(1).for_each(|executor| executor.mode = mode);
    let before = sim.log.len();
    let waiter = submit(&mut sim, 0, &Work::job("a", 20).within(DEADLINE));
    sim.run(Span::from_secs(9));
    assert!(sim.checker.answer_of(waiter).is_none());
    let placed = |(_, _, decision): &&(_, _, Decision)| matches!(decision, Decision::Place { .. });
    sim.log[before..].iter().filter(placed).count()
}

#[test]
fn executors_that_do_not_run_a_started_job_are_tried_rarely() {
    for mode in [Mode::Down, Mode::Refuse] {
        let attempts = attempts_of_a_started_job(mode);
        assert!(attempts <= 24 * 9 * 2, "{mode:?}: {attempts} attempts");
    }
}
