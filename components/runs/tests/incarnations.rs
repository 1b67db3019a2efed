//! Executors that crash and start a new incarnation under the same name, and tasks that crash their
//! executors.

mod common;

use common::{
    executors::{Process, Scene, TICK_INTERVAL, named, service},
    fixture::needs,
};
use runs::{
    Event, Executor, Options,
    executor::{Ended, Incarnation, Listing, Response, RunResult},
    job::{Answer, Run},
};
use site::{
    id::EndpointId,
    unit::{Cores, Resources, Slots, Span},
};

#[test]
fn ends_of_a_new_incarnation_count_although_their_numbers_restart() {
    let mut scene = Scene::new(vec![named("i-1")]);
    for _ in 0..3 {
        scene.submit();
        scene.wait(Span::from_millis(50));
        scene.executor(EndpointId::of("i-1")).end_all();
        scene.wait(Span::from_millis(600));
    }
    assert_eq!(scene.answers, [Answer::Completed; 3]);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(50));
    scene.executor(EndpointId::of("i-1")).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed; 4]);
}

/// The wall clock of the machine was set back while the executor was down.
#[test]
fn a_later_incarnation_may_have_an_earlier_start_time() {
    let mut scene = Scene::new(vec![named("i-1")]);
    let id = EndpointId::of("i-1");
    scene.crash(id);
    scene.executor(id).incarnation = Some(Incarnation(0));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(50));
    scene.executor(id).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed]);
}

/// The store lists a new incarnation that is stopping already.
#[test]
fn a_new_incarnation_that_is_leaving_gets_no_task() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    let restarted = Executor { incarnation: Some(Incarnation(2)), leaving: true, ..named("i-1") };
    scene.handle(Event::Executors(vec![restarted]));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(300));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
}

#[test]
fn the_task_of_a_run_in_an_earlier_incarnation_runs_elsewhere() {
    let mut scene = Scene::new(vec![named("i-1"), named("i-2")]);
    scene.submit();
    let first = scene.latest();
    scene.wait(Span::from_millis(100));
    scene.crash(first);
    scene.wait(Span::from_millis(200));
    assert_eq!(scene.starts.len(), 2);
    assert_ne!(scene.latest(), first);
}

/// The store lists the new incarnation before the executor responds.
#[test]
fn a_newly_registered_incarnation_is_polled_before_the_next_start() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    let restarted = Executor { incarnation: Some(Incarnation(2)), ..named("i-1") };
    scene.handle(Event::Executors(vec![restarted]));
    scene.submit();
    assert!(scene.starts.is_empty(), "its clock is not known yet");
    scene.respond_to_polls();
    scene.wait(Span::from_millis(10));
    let clock = scene.executors[&EndpointId::of("i-1")].clock(scene.now);
    let lease = Options::default().lease.as_millis();
    assert!(scene.starts[0].2 <= clock + lease, "{:?} at {clock}", scene.starts);
}

/// The response to a poll that timed out arrives after one of the new incarnation.
#[test]
fn the_listing_of_an_earlier_incarnation_is_ignored() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    scene.wait(Span::from_millis(20));
    let (executor, run, _) = scene.starts[0].clone();
    scene.now = scene.now + TICK_INTERVAL;
    scene.handle(Event::Tick);
    let ended = vec![Ended { number: 9, run: Some(run), result: RunResult::Stopped }];
    let old =
        Listing { clock: 90_000, incarnation: Some(Incarnation(1)), running: Vec::new(), ended };
    scene.handle(Event::Polled { executor, number: 1, reply: Response::Done(old) });
    scene.wait(Span::from_millis(100));
    scene.executor(executor).end_all();
    scene.wait(Span::from_millis(300));
    assert_eq!(scene.answers, [Answer::Completed]);
    assert_eq!(scene.starts.len(), 1);
}

#[test]
fn a_job_fails_when_two_executors_crashed_under_one_of_its_tasks() {
    let mut scene = Scene::new(vec![named("i-1"), named("i-2"), named("i-3"), named("i-4")]);
    scene.submit();
    for _ in 0..4 {
        scene.wait(Span::from_millis(100));
        let latest = scene.latest();
        if !scene.executors[&latest].running.is_empty() {
            scene.crash(latest);
        }
        scene.wait(Span::from_millis(200));
    }
    assert_eq!(scene.starts.len(), 2);
    assert_eq!(scene.answers, [Answer::Failed]);
}

#[test]
fn the_clock_of_an_idle_executor_is_never_old_when_a_task_starts() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.wait(Span::from_secs(5));
    // Nothing notifies the entry of the new incarnation.
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(1));
    scene.submit();
    let clock = scene.executors[&EndpointId::of("i-1")].clock(scene.now);
    let lease = Options::default().lease.as_millis();
    assert!(scene.starts[0].2 <= clock + lease, "{:?} at {clock}", scene.starts);
}

#[test]
fn a_crashed_idle_executor_gets_no_task_until_it_answers_again() {
    let mut scene = Scene::new(vec![named("i-1")]);
    scene.executor(EndpointId::of("i-1")).process = Process::Silent;
    scene.wait(Span::from_secs(2));
    scene.submit();
    scene.wait(Span::from_millis(100));
    assert!(scene.starts.is_empty(), "{:?}", scene.starts);
    scene.crash(EndpointId::of("i-1"));
    scene.wait(Span::from_secs(2));
    assert_eq!(scene.starts.len(), 1);
}

/// A run of a former keeper occupies an unknown part of the capacity.
#[test]
fn executors_that_do_not_enforce_capacity_get_no_task_beside_an_unknown_run() {
    for guards in [true, false] {
        let mut scene = Scene::new(vec![named("i-1")]);
        scene.handle(service(guards));
        let unknown = Run { job: "00000000000000ff".into(), index: 0, number: 1 };
        scene.executor(EndpointId::of("i-1")).running.push(unknown);
        scene.wait(Span::from_millis(800));
        scene.submit();
        scene.wait(Span::from_millis(50));
        assert_eq!(scene.starts.len(), usize::from(guards), "guards: {guards}");
        scene.executor(EndpointId::of("i-1")).running.retain(|run| run.job != "00000000000000ff");
        scene.wait(Span::from_millis(500));
        assert_eq!(scene.starts.len(), 1);
    }
}

#[test]
fn changes_of_capacity_are_respected() {
    let mut scene = Scene::new(vec![named("i-1")]);
    let sized = |cores| {
        let capacity = Resources { slots: Slots(8), cores: Cores(cores), ..Resources::default() };
        Event::Executors(vec![Executor { capacity, ..named("i-1") }])
    };
    let cores = needs().cores.0;
    scene.handle(sized(2 * cores));
    (0..3).for_each(|_| scene.submit());
    assert_eq!(scene.starts.len(), 2);
    scene.handle(sized(cores));
    scene.wait(Span::from_millis(100));
    scene.executor(EndpointId::of("i-1")).running.truncate(1);
    scene.wait(Span::from_millis(100));
    assert_eq!(scene.starts.len(), 2, "the one that is left fills it");
    scene.handle(sized(4 * cores));
    scene.wait(Span::from_millis(100));
    assert_eq!(scene.starts.len(), 3, "the job that waited");
}
