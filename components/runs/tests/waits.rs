//! No task starts once its caller may have given up, however late an order or a message arrives.

mod common;

use common::{
    executors::{Scene, renamed},
    fixture,
    network::{Network, entry, half_job},
};
use runs::{Event, Job, Options};
use site::{
    id::WaiterId,
    unit::{Span, Time},
};

const JOB: &str = "00000000000000dd";

/// A job of a short task whose caller waits for `wait`.
fn brief(job: Job, now: Time, wait: Span) -> Job {
    Job {
        name: JOB.into(),
        estimate: Span::from_millis(100),
        due: now + wait,
        give_up: now + wait,
        ..job
    }
}

/// Guards against a start that the network holds up: the executor would begin it until the lease ends,
/// 700 ms after it was sent.
#[test]
fn an_executor_refuses_a_start_that_arrives_after_the_callers_wait() {
    for ms in [150, 300, 600] {
        let mut scene = Scene::new(vec![renamed("i-1")]);
        let job = brief(fixture::job(scene.now), scene.now, Span::from_millis(ms));
        let give_up = job.give_up;
        scene.handle(Event::Submit { waiter: WaiterId(1), job });
        let (executor, _, deadline) = scene.starts.last().cloned().expect("a start");
        let latest = scene.executor(executor).clock(give_up);
        assert!(deadline <= latest, "{ms} ms: the start expires at {deadline}, after {latest}");
    }
}

/// Guards against the same where the caller waits for long: the lease bounds the start as before.
#[test]
fn a_start_for_a_patient_caller_extends_the_lease() {
    let mut scene = Scene::new(vec![renamed("i-1")]);
    scene.submit();
    let (executor, _, deadline) = scene.starts.last().cloned().expect("a start");
    let lease = Options::default().lease;
    let now = scene.now;
    let expected = scene.executor(executor).clock(now + lease);
    assert!(deadline + 20 >= expected && deadline <= expected, "{deadline} against {expected}");
}

/// Guards against a wait that is counted from the arrival of a message between entries.
#[test]
fn a_keeper_starts_no_task_that_came_to_it_too_late() {
    for (held, starts) in [(40, 1), (200, 0), (290, 0)] {
        let (home, keeper) = (entry(0), entry(1));
        let mut network = Network::new(&[0, 1], Options::default());
        let now = network.now;
        network.hold(home, keeper);
        network.submit(home, brief(half_job(JOB, 1, now), now, Span::from_millis(250)));
        network.wait(held);
        network.release(home, keeper);
        network.wait(5);
        assert_eq!(network.started(JOB).len(), starts, "held up for {held} ms");
    }
}
