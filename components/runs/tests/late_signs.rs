//! Keepers and homes that handle messages late: a message shows that its sender was alive when it
//! was sent, not when it is handled.

mod common;

use common::network::{Network, entry, half_job};
use runs::{Job, Message, Options, message::Sign};
use site::{id::Home, unit::Span};

const JOB: &str = "00000000000000dd";

/// The caller submits its job again this long after its connection broke, in milliseconds.
const RESEND: u64 = 1_300;

/// Time from the kill of the home until that of its keeper, in milliseconds.
const UNTIL_SECOND_KILL: u64 = 790;

/// A home without executors, two keepers with one each, and a job of long tasks of which the first
/// keeper has one.
struct Scene {
    network: Network,
    home: Home,
    keeper: Home,
    job: Job,
}

impl Scene {
    fn new() -> Self {
        let (home, keeper) = (entry(0), entry(1));
        let mut network = Network::new(&[0, 1, 1], Options::default());
        // Occupies the second keeper, so that the job goes to the first one.
        network.submit(entry(2), half_job("00000000000000ff", 2, network.now));
        network.wait(300);
        let job = half_job(JOB, 1, network.now);
        let job = Job { estimate: Span::from_secs(3), ..job };
        network.submit(home, job.clone());
        network.wait(300);
        assert_eq!(network.started(JOB), [1]);
        network.end_runs(2);
        Self { network, home, keeper, job }
    }

    /// The latest sign of life that the home sent with a report.
    fn latest_sign(&self) -> Option<Sign> {
        let mut sent = self.network.sent.iter().rev();
        sent.find_map(|(from, _, message)| match message {
            Message::Report(report) if *from == self.home => Some(report.sign),
            _ => None,
        })
    }

    /// The caller submits the job again elsewhere. Each start checks that no other run of the task
    /// is there.
    fn submit_again(&mut self) {
        self.network.submit(entry(2), Job { first_run: 100, ..self.job.clone() });
        self.network.wait(200);
        assert_eq!(self.network.started(JOB), [1, 2]);
    }
}

/// Guards against a keeper that takes messages which arrived while it did not run for signs of life:
/// their sender was killed meanwhile, and the keeper is killed before it has missed the home.
#[test]
fn a_keeper_that_did_not_run_renews_no_lease_for_a_home_that_died_meanwhile() {
    for (pause, until_kill) in [(200, 40), (430, 40), (480, 10), (480, 200)] {
        let mut scene = Scene::new();
        scene.network.configure(scene.home, 1);
        scene.network.wait(5);
        scene.network.pause(scene.keeper, pause);
        scene.network.wait(until_kill - 5);
        scene.network.configure(scene.home, 2);
        scene.network.wait(5);
        scene.network.kill(scene.home);
        scene.network.wait(UNTIL_SECOND_KILL);
        scene.network.kill(scene.keeper);
        scene.network.wait(RESEND - UNTIL_SECOND_KILL);
        scene.submit_again();
    }
}

/// Guards against runs that are stopped without need: what the home sent meanwhile is waiting.
#[test]
fn a_keeper_that_did_not_run_goes_on_for_a_home_that_lives() {
    for pause in [100, 300, 480, 600, 700] {
        let mut scene = Scene::new();
        scene.network.pause(scene.keeper, pause);
        scene.network.wait(pause + 600);
        assert_eq!(scene.network.running(JOB), 1, "the run was stopped after {pause} ms");
    }
}

/// Guards against the same fault by the way of the home: its caller has left while it did not run, and
/// it is killed before it knows.
#[test]
fn a_home_that_did_not_run_vouches_for_no_caller_before_it_has_caught_up() {
    let mut scene = Scene::new();
    scene.network.pause(scene.home, 430);
    scene.network.wait(432);
    let alive = scene.network.now;
    scene.network.configure(scene.home, 3);
    let before = |sign: &Sign| sign.alive + Span::from_millis(400) < alive;
    assert!(scene.latest_sign().is_some_and(|sign| before(&sign)));
    scene.network.wait(200);
    assert!(scene.latest_sign().is_some_and(|sign| !before(&sign)));
}
