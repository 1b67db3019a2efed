//! Capacity that entries lend each other is neither lost nor withheld.

mod common;

use common::{Shape, Simulation, Work, executor_id, id};
use site::{
    id::WaiterId,
    submission::Answer,
    unit::{Revision, Span},
};

/// Returns a simulation with one lead entry, which keeps all executors, the number of its VM and
/// that of another one.
fn lender(entries: usize, shape: Shape) -> (Simulation, usize, usize) {
    let sim = Simulation::new(shape, entries, 1);
    let lead = sim.entry(0).leads()[0].entry.0 as usize;
    let other = (0..entries).find(|vm| *vm != lead).unwrap();
    (sim, lead, other)
}

fn submit(sim: &mut Simulation, vm: usize, work: &Work, unique: u64) -> WaiterId {
    let via = sim.at(vm).unwrap();
    let id = id(sim.entry(vm).own_token(), unique);
    sim.submit(via, work, id)
}

fn complete(sim: &Simulation, waiter: WaiterId) -> bool {
    matches!(sim.checker.answer_of(waiter), Some(Answer::Complete(_)))
}

#[test]
fn an_entry_without_executors_borrows_and_returns_capacity() {
    let (mut sim, _, other) = lender(2, Shape::default());
    let waiter = submit(&mut sim, other, &Work::job("a", 8), 1);
    sim.run(Span::from_secs(3));
    assert!(complete(&sim, waiter));
    assert_eq!(sim.usable(), 4);
}

#[test]
fn an_entry_borrows_again_after_its_connection_was_interrupted() {
    let (mut sim, lead, other) = lender(2, Shape::default());
    sim.drop_connection(lead, other);
    sim.connect_all();
    sim.run(Span::from_millis(200));
    let waiter = submit(&mut sim, other, &Work::job("a", 4), 1);
    sim.run(Span::from_secs(6));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

#[test]
fn capacity_is_regained_when_a_borrower_is_killed() {
    let (mut sim, lead, other) = lender(3, Shape::default());
    submit(&mut sim, other, &Work::job("a", 40), 1);
    sim.run(Span::from_millis(60));
    let borrower = sim.at(other).unwrap();
    sim.kill(borrower);
    sim.run(Span::from_secs(5));
    let waiter = submit(&mut sim, lead, &Work::job("b", 4), 2);
    sim.run(Span::from_millis(100));
    assert!(complete(&sim, waiter));
    assert_eq!(sim.usable(), 4);
}

#[test]
fn capacity_is_regained_when_a_connection_breaks_while_it_is_lent() {
    for wait in (1..120).step_by(3) {
        let (mut sim, lead, other) = lender(3, Shape::default());
        let waiter = submit(&mut sim, other, &Work::job("a", 12), 1);
        sim.run(Span::from_millis(wait));
        sim.drop_connection(lead, other);
        sim.connect_all();
        sim.run(Span::from_secs(8));
        assert!(complete(&sim, waiter), "after {wait} ms: {:?}", sim.checker.answer_of(waiter));
        assert!(sim.usable() >= 4, "after {wait} ms: {}", sim.usable());
    }
}

#[test]
fn all_capacity_is_usable_after_a_partial_network_partition() {
    for wait in (1..120).step_by(3) {
        let mut sim = Simulation::new(Shape::default(), 3, 3);
        let waiters: Vec<_> =
            (0..3).map(|vm| submit(&mut sim, vm, &Work::job(&format!("{vm}"), 12), 1)).collect();
        sim.run(Span::from_millis(wait));
        sim.partition(0, 1);
        sim.run(Span::from_secs(4));
        sim.heal(0, 1);
        sim.run(Span::from_secs(40));
        assert!(waiters.iter().all(|waiter| sim.checker.answer_of(*waiter).is_some()));
        assert!(sim.usable() >= 4, "after {wait} ms: {}", sim.usable());
    }
}

#[test]
fn a_quota_is_free_again_when_the_end_of_its_usage_could_not_be_reported() {
    let shape = Shape { quota: Some(2), ..Shape::default() };
    let mut sim = Simulation::new(shape, 2, 2);
    submit(&mut sim, 0, &Work::job("a", 2), 1);
    sim.run(Span::from_millis(30));
    sim.partition(0, 1);
    sim.run(Span::from_millis(300));
    sim.heal(0, 1);
    sim.run(Span::from_millis(300));
    let waiter = submit(&mut sim, 1, &Work::job("b", 2), 2);
    sim.run(Span::from_secs(6));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

#[test]
fn nothing_starts_on_an_executor_that_is_known_to_be_leaving() {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    submit(&mut sim, 0, &Work::job("a", 40), 1);
    sim.run(Span::from_millis(60));
    sim.platform.leaving.push(executor_id(0));
    sim.publish();
    sim.run(Span::from_secs(3));
    let late = sim.starts.iter().filter(|b| b.executor == executor_id(0)).map(|b| b.at).max();
    assert!(late.unwrap().since(site::unit::Time(2_060_000)) < Span::from_millis(1));
}

#[test]
fn an_executor_removed_from_the_list_of_leaving_endpoints_is_used_again() {
    let mut sim = Simulation::new(Shape { executors: 1, ..Shape::default() }, 1, 1);
    sim.platform.leaving.push(executor_id(0));
    sim.publish();
    sim.run(Span::from_secs(1));
    sim.platform.leaving.clear();
    sim.publish();
    sim.run(Span::from_secs(1));
    let waiter = submit(&mut sim, 0, &Work::job("a", 2), 1);
    sim.run(Span::from_secs(6));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

#[test]
fn an_executor_that_reported_leaving_is_used_again_once_replaced() {
    let shape = Shape { executors: 1, ..Shape::default() };
    let mut sim = Simulation::new(shape.clone(), 1, 1);
    sim.executors.get_mut(&executor_id(0)).unwrap().leaving = true;
    submit(&mut sim, 0, &Work::job("a", 1), 1);
    sim.run(Span::from_secs(6));
    sim.executors.get_mut(&executor_id(0)).unwrap().leaving = false;
    let absent = Shape { absent: vec![0], ..shape.clone() };
    sim.configure(absent, Revision(2), &[0]);
    sim.run(Span::from_secs(1));
    sim.configure(shape, Revision(3), &[0]);
    sim.checker.replaced(executor_id(0));
    sim.run(Span::from_secs(1));
    let waiter = submit(&mut sim, 0, &Work::job("b", 2), 2);
    sim.run(Span::from_secs(6));
    assert!(complete(&sim, waiter), "{:?}", sim.checker.answer_of(waiter));
}

#[test]
fn older_settings_are_ignored() {
    let shape = Shape::default();
    let mut sim = Simulation::new(shape.clone(), 1, 1);
    let leaving = Shape { leaving: vec![0], ..shape.clone() };
    sim.configure(leaving, Revision(3), &[0]);
    sim.configure(shape, Revision(2), &[0]);
    submit(&mut sim, 0, &Work::job("a", 4), 1);
    sim.run(Span::from_secs(3));
    assert!(sim.starts.iter().all(|began| began.executor == executor_id(1)));
    assert_eq!(sim.entry(0).revision(), Revision(3));
}

#[test]
fn jobs_complete_when_two_entries_both_consider_themselves_keepers() {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    // The views diverge: each entry considers itself the keeper of all executors.
    sim.partition(0, 1);
    sim.run(Span::from_secs(3));
    let waiters: Vec<_> =
        (0..2).map(|vm| submit(&mut sim, vm, &Work::job(&format!("{vm}"), 12), 1)).collect();
    sim.run(Span::from_secs(6));
    assert!(waiters.iter().all(|waiter| complete(&sim, *waiter)));
}

#[test]
fn a_borrower_starts_nothing_on_an_executor_that_the_settings_mark_as_leaving() {
    let shape = Shape { executors: 3, ..Shape::default() };
    let mut sim = Simulation::new(shape.clone(), 3, 2);
    submit(&mut sim, 1, &Work::job("a", 3), 1);
    sim.run(Span::from_millis(2));
    // All that it borrowed is free except three slots.
    sim.configure(Shape { leaving: vec![1], ..shape }, Revision(2), &[1]);
    let waiter = submit(&mut sim, 1, &Work::job("b", 1), 2);
    sim.run(Span::from_secs(1));
    assert!(complete(&sim, waiter));
}
