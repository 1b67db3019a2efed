//! Runs that nobody waits for, and whose stops are lost: they end with the lease that was granted
//! while somebody did.

mod common;

use common::{
    executors::{Scene, renamed},
    network::{Network, entry, half_job},
};
use runs::{Event, Job, Options, job::Run};
use site::{id::WaiterId, unit::Span};

/// Enough to lose each stop of a scene.
const ALL: usize = 1_000;

/// Longer than a lease.
const LONG: Span = Span::from_millis(2_000);

/// A scene with one executor, on which two jobs of one task each run.
fn two_jobs() -> Scene {
    let mut scene = Scene::new(vec![renamed("i-0")]);
    scene.submit();
    scene.submit();
    scene.wait(Span::from_millis(200));
    assert_eq!(scene.starts.len(), 2);
    assert!(!scene.renewals.is_empty(), "the lease of runs that callers wait for was not extended");
    scene
}

/// The latest lease deadline that the executor got.
fn granted(scene: &Scene) -> Option<u64> {
    let of_starts = scene.starts.iter().map(|(.., deadline)| *deadline);
    scene.renewals.iter().copied().chain(of_starts).max()
}

/// The first caller leaves, and the stop of its run is lost, as are its repetitions.
fn leave(scene: &mut Scene) {
    scene.lost_stops = ALL;
    scene.handle(Event::Leave { waiter: WaiterId(1) });
}

/// Guards against a run that outlives its caller by more than a lease, so that it runs beside that
/// of the caller's next submission.
#[test]
fn the_lease_of_a_cancelled_run_is_not_extended_while_its_stop_has_no_answer() {
    let mut scene = two_jobs();
    let before = granted(&scene);
    leave(&mut scene);
    scene.wait(LONG);
    assert_eq!(granted(&scene), before);
}

/// The same by a start: it extends the lease of everything that runs there.
#[test]
fn a_start_beside_a_cancelled_run_does_not_extend_its_lease() {
    let mut scene = two_jobs();
    let before = granted(&scene);
    leave(&mut scene);
    scene.wait(Span::from_millis(50));
    scene.submit();
    assert_eq!((scene.starts.len(), granted(&scene)), (3, before));
    scene.wait(Span::from_millis(450));
    scene.submit();
    scene.wait(Span::from_millis(100));
    assert_eq!(scene.starts.len(), 3, "a task was started with hardly any lease");
}

#[test]
fn the_lease_is_extended_again_once_the_stop_is_carried_out() {
    let mut scene = two_jobs();
    let before = granted(&scene);
    leave(&mut scene);
    scene.lost_stops = 0;
    scene.wait(Span::from_millis(80));
    assert_eq!(granted(&scene), before);
    scene.wait(Span::from_millis(200));
    assert!(granted(&scene) > before, "the run of the other caller is left to expire");
}

/// Guards against a new keeper that extends the lease of runs that it knows nothing of.
#[test]
fn the_lease_of_an_unknown_run_is_not_extended_while_its_stop_has_no_answer() {
    let mut scene = two_jobs();
    scene.lost_stops = ALL;
    let unknown = Run { job: "00000000000000cc".into(), index: 0, number: 1 };
    let id = scene.latest();
    scene.executor(id).running.push(unknown);
    scene.wait(Span::from_millis(50));
    let before = granted(&scene);
    scene.wait(LONG);
    assert_eq!(granted(&scene), before);
}

/// A scene with two runs that take too long, and whose stops are lost.
fn two_overdue_runs() -> Scene {
    let mut scene = two_jobs();
    scene.lost_stops = ALL;
    scene.wait(Span::from_millis(4_000));
    assert!(scene.lost_stops < ALL, "no run was stopped");
    scene
}

/// Guards against tasks that are lost without need: the home of a run that takes too long waits for
/// its keeper, whatever becomes of the stop.
#[test]
fn the_lease_is_extended_while_an_overdue_run_is_being_stopped() {
    let mut scene = two_overdue_runs();
    let before = granted(&scene);
    scene.wait(Span::from_millis(500));
    assert!(granted(&scene) > before);
}

/// The run was being stopped for another reason when its caller left.
#[test]
fn the_lease_of_an_overdue_run_is_not_extended_once_its_caller_has_left() {
    let mut scene = two_overdue_runs();
    let before = granted(&scene);
    leave(&mut scene);
    scene.wait(LONG);
    assert_eq!(granted(&scene), before);
}

/// A home dies. The keeper of its tasks has other work on the same executor and loses its stops. The
/// caller submits the job again elsewhere, 1,300 ms after its connection broke.
#[test]
fn a_run_of_a_dead_home_is_over_when_its_caller_comes_again() {
    const JOB: &str = "00000000000000dd";
    const BESIDE: &str = "00000000000000ee";
    let (home, other) = (entry(0), entry(3));
    let mut network = Network::new(&[0, 1, 1, 0], Options::default());
    let task = |name| Job { estimate: Span::from_secs(3), ..half_job(name, 1, network.now) };
    let (first, beside) = (task(JOB), task(BESIDE));
    let again = Job { first_run: 100, ..first.clone() };
    network.submit(entry(2), half_job("00000000000000ff", 2, network.now));
    network.wait(300);
    network.submit(home, first);
    network.submit(other, beside);
    network.wait(100);
    assert_eq!((network.started(JOB), network.started(BESIDE)), (vec![1], vec![1]));
    network.end_runs(2);
    network.kill(home);
    network.loses_stops = true;
    network.wait(1_300);
    // Each start checks that no other run of the task is there.
    network.submit(entry(2), again);
    network.wait(200);
    assert_eq!(network.started(JOB), [1, 2]);
}
