//! A firm has no access to another firm's submissions.

mod common;

use common::{Shape, Simulation, Work, id};
use site::{
    id::WaiterId,
    submission::{Answer, Failure},
    unit::Span,
};

fn failure(sim: &Simulation, waiter: WaiterId) -> Failure {
    match sim.checker.answer_of(waiter) {
        Some(Answer::Failed(failure)) => *failure,
        other => panic!("not failed: {other:?}"),
    }
}

#[test]
fn a_firm_can_neither_cancel_nor_fetch_another_firms_submission() {
    let mut sim = Simulation::new(Shape::default(), 2, 2);
    let home = sim.at(0).unwrap();
    let (work, id) = (Work::job("a", 9), id(sim.entry(0).own_token(), 1));
    let unused = common::id(id.token, 99);
    let own = sim.submit(home, &work, id);
    sim.run(Span::from_millis(20));
    for vm in [0, 1] {
        let via = sim.at(vm).unwrap();
        let cancels = [id, unused].map(|id| sim.cancel(via, &work.clone().of(1), id));
        let fetches = [id, unused].map(|id| sim.fetch(via, &work, id, 1));
        sim.run(Span::from_millis(10));
        // It gets the same answer as for an identifier that was never used.
        assert_eq!(failure(&sim, cancels[0]), failure(&sim, cancels[1]));
        assert_eq!(failure(&sim, fetches[0]), failure(&sim, fetches[1]));
    }
    sim.run(Span::from_secs(3));
    assert!(matches!(sim.checker.answer_of(own), Some(Answer::Complete(_))));
}
