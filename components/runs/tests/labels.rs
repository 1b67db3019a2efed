//! What decisions say of the queue of a job and of the health of an executor.

mod common;

use common::{
    executors::{Scene, named},
    fixture::job,
};
use runs::{
    Decision, Event, Job,
    action::ExecutorHealth,
    executor::{Ended, RunResult},
    job::Route,
};
use site::{
    id::{EndpointId, WaiterId},
    unit::Span,
};

/// Guards against refusals that can't be counted by queue.
#[test]
fn admission_and_answer_name_the_queue_of_a_job() {
    let mut scene = Scene::new(Vec::new());
    let route = Some(Route("/a/".into()));
    let due = scene.now + Span::from_millis(100);
    for (number, route) in [(1, route.clone()), (2, None)] {
        let job = Job { name: number.to_string().into(), route, due, ..job(scene.now) };
        scene.handle(Event::Submit { waiter: WaiterId(number), job });
    }
    scene.wait(Span::from_millis(200));
    let routes: Vec<_> = scene
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Admit { route, .. } => Some(("admit", route.clone())),
            Decision::Answer { route, answer, .. } => Some((*answer, route.clone())),
            _ => None,
        })
        .collect();
    for expected in [("admit", route.clone()), ("refused", route), ("admit", None)] {
        assert!(routes.contains(&expected), "{expected:?} in {routes:?}");
    }
}

/// Guards against bad ends that can't be told apart by whether their executor was known to be bad.
#[test]
fn a_bad_end_names_the_health_of_its_executor_before_it() {
    let mut scene = Scene::new(["i-1", "i-2", "i-3", "i-4"].map(named).to_vec());
    for _ in 0..60 {
        scene.submit();
        scene.wait(Span::from_millis(50));
        for id in ["i-2", "i-3", "i-4"] {
            scene.executor(EndpointId::of(id)).end_all();
        }
        let failing = scene.executor(EndpointId::of("i-1"));
        for run in std::mem::take(&mut failing.running) {
            let number = failing.ended.len() as u64 + 1;
            failing.ended.push(Ended { number, run: Some(run), result: RunResult::Failed });
        }
        scene.wait(Span::from_millis(50));
    }
    let health = scene.decisions.iter().filter_map(|decision| match decision {
        Decision::RunEnded { health, .. } => Some(*health),
        _ => None,
    });
    let health: Vec<_> = health.collect();
    assert_eq!(health.first(), Some(&ExecutorHealth::Open));
    assert_eq!(health.last(), Some(&ExecutorHealth::Probing), "{health:?}");
}
