//! Isolation of executors by likelihood, as the keeper logs it.

mod common;

use common::executors::{Scene, named, service};
use runs::{
    Decision,
    executor::{Ended, RunResult},
};
use site::{id::EndpointId, unit::Span};

/// All executors run eight tasks; those of `failing` fail.
fn run_tasks(scene: &mut Scene, failing: Option<EndpointId>) {
    scene.submit_tasks(160);
    scene.wait(Span::from_millis(20));
    for (id, executor) in &mut scene.executors {
        match failing == Some(*id) {
            false => executor.end_all(),
            true => {
                for run in std::mem::take(&mut executor.running) {
                    let number = executor.ended.len() as u64 + 1;
                    executor.ended.push(Ended {
                        number,
                        run: Some(run),
                        result: RunResult::Failed,
                    });
                }
            }
        }
    }
    scene.respond_to_polls();
    scene.wait(Span::from_millis(20));
}

/// Guards against a keeper that does not use `limits.health_rule`, or logs no ratio.
#[test]
fn an_executor_that_begins_to_fail_is_doubted_then_isolated_with_its_ratio() {
    let executors: Vec<_> = (0..20).map(|number| named(&format!("i-{number}"))).collect();
    let faulty = executors[7].id;
    let mut scene = Scene::new(executors);
    scene.handle(service(false));
    scene.respond_to_polls();
    scene.wait(Span::from_millis(300));
    (0..3).for_each(|_| run_tasks(&mut scene, None));
    run_tasks(&mut scene, Some(faulty));
    let health = scene.decisions.iter().filter_map(|decision| match decision {
        Decision::Health { executor, change, ratio } => Some((executor, change, *ratio)),
        _ => None,
    });
    let health: Vec<_> = health.collect();
    let [(first, doubt, Some(half)), (second, isolation, Some(full))] = &health[..] else {
        panic!("{health:?}");
    };
    assert!(*first == "i-7" && *second == "i-7", "{health:?}");
    assert!(*doubt == "Doubt" && (7.0..14.0).contains(half), "{health:?}");
    assert!(isolation.starts_with("Isolate") && *full >= 14.0, "{health:?}");
}
