//! Tasks that find no room at the keeper that they are sent to.

mod common;

use common::network::{Network, entry, half_job};
use lab::simulation::{Fault, Plan, Simulation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use runs::{Decision, Message, Options, job::Answer, message::End};
use site::{
    id::{Home, WaiterId},
    unit::Span,
};
use std::collections::{BTreeMap, BTreeSet};

const JOB: &str = "00000000000000aa";

fn options() -> Options {
    // Homes send to the keeper with the most room, which is the first one.
    Options { spread: false, ..Options::default() }
}

/// A home without executors, and three keepers with 3, 2 and 1 executors, of which the first is full
/// while the home believes that it has the most room.
struct Scene {
    network: Network,
    home: Home,
    first: Home,
    second: Home,
    third: Home,
    waiter: WaiterId,
}

impl Scene {
    fn new() -> Self {
        let network = Network::new(&[0, 3, 2, 1], options());
        let [home, first, second, third] = [0, 1, 2, 3].map(entry);
        let mut scene = Self { network, home, first, second, third, waiter: WaiterId(0) };
        scene.network.silence(first, home);
        scene.fill(first, 6);
        scene
    }

    /// Occupies executors of a keeper with a job of its own.
    fn fill(&mut self, keeper: Home, tasks: u16) {
        let name = format!("{:016x}", 0xff00 + keeper.data_centre.0);
        let job = half_job(&name, tasks, self.network.now);
        self.network.submit(keeper, job);
        self.network.wait(30);
    }

    /// Submits the job, and waits until the first keeper has forwarded it.
    fn forward(&mut self) {
        self.waiter = self.network.submit(self.home, half_job(JOB, 1, self.network.now));
        self.network.wait(1);
        assert_eq!(self.forwards(), [(self.first, self.second)]);
    }

    fn forwards(&self) -> Vec<(Home, Home)> {
        self.network.sent(|message| matches!(message, Message::Forward(_)))
    }

    fn started(&self) -> Vec<u64> {
        self.network.started(JOB)
    }

    /// Lets the runs of a data centre end; the job completes.
    fn complete(&mut self, data_centre: u64) {
        self.network.end_runs(data_centre);
        self.network.wait(200);
        assert!(self.network.answers.contains(&(self.waiter, Answer::Completed)));
    }

    fn returned(&self) -> usize {
        let is_returned = |(_, decision): &&(Home, Decision)| {
            matches!(decision, Decision::TaskEnded { end: End::NotRun, .. })
        };
        self.network.log.iter().filter(is_returned).count()
    }
}

#[test]
fn a_task_without_room_goes_to_another_keeper_and_its_home_confirms() {
    let mut scene = Scene::new();
    scene.forward();
    scene.network.wait(3);
    assert_eq!(scene.started(), [2]);
    let confirmed = scene.network.sent(|message| matches!(message, Message::Confirmed(_)));
    assert_eq!(confirmed, [(scene.home, scene.second)]);
    // Longer than the time after which an unconfirmed task is stopped.
    scene.network.wait(600);
    scene.complete(2);
    assert_eq!((scene.started(), scene.returned()), (vec![2], 0));
}

/// Guards against a cost where room is ample: all actions but the log lines are the same.
#[test]
fn nothing_changes_where_tasks_find_room() {
    let play = |forward| {
        let mut network = Network::new(&[0, 3, 2, 1], Options { forward, ..options() });
        for number in 0..20 {
            let job = half_job(&format!("{number:016x}"), 1 + number % 2, network.now);
            network.submit(entry(u64::from(number) % 4), job);
            network.wait(15);
            if number % 3 == 2 {
                (1..4).for_each(|data_centre| network.end_runs(data_centre));
                network.wait(15);
            }
        }
        network.wait(2_000);
        let is_forwarding = |message: &Message| {
            matches!(message, Message::Forward(_) | Message::Taken(_) | Message::Confirmed(_))
        };
        assert!(network.sent(is_forwarding).is_empty());
        let place = |message: &Message| !matches!(message, Message::Report(_));
        (network.sent(place), network.starts, network.answers)
    };
    assert_eq!(play(true), play(false));
}

#[test]
fn with_the_switch_off_the_task_is_returned() {
    let mut scene = Scene::new();
    scene.network = Network::new(&[0, 3, 2, 1], Options { forward: false, ..options() });
    scene.network.silence(scene.first, scene.home);
    scene.fill(scene.first, 6);
    scene.network.submit(scene.home, half_job(JOB, 1, scene.network.now));
    scene.network.wait(40);
    assert_eq!(scene.forwards(), []);
    assert!(scene.returned() > 0);
}

#[test]
fn a_keeper_that_dies_before_the_hand_over_loses_the_task_but_it_runs_once() {
    let mut scene = Scene::new();
    scene.network.hold(scene.first, scene.second);
    scene.forward();
    scene.network.kill(scene.first);
    // The loss is noticed after 800 ms, and the task is placed 1,250 ms later.
    scene.network.wait(2_000);
    assert!(scene.started().is_empty());
    scene.network.wait(100);
    assert_eq!(scene.started(), [2]);
    scene.complete(2);
}

#[test]
fn a_keeper_that_dies_after_the_hand_over_is_not_missed() {
    let mut scene = Scene::new();
    scene.forward();
    scene.network.wait(1);
    scene.network.kill(scene.first);
    scene.network.wait(2_500);
    scene.complete(2);
    assert_eq!(scene.started(), [2]);
}

/// Guards against a second run beside one that the home has never heard of: the new keeper must have
/// given it up, and its lease must be over, even if the stop is lost with the executor's connection.
#[test]
fn a_home_that_loses_the_first_keeper_and_does_not_hear_of_the_second_waits_long_enough() {
    for is_restored in [false, true] {
        let mut scene = Scene::new();
        scene.network.hold(scene.second, scene.home);
        scene.forward();
        scene.network.wait(1);
        scene.network.kill(scene.first);
        scene.network.wait(230);
        scene.network.loses_orders = true;
        // The lease of the start lasts 700 ms, and nobody extends it.
        scene.network.wait(400);
        assert_eq!((scene.started(), scene.network.running(JOB)), (vec![2], 1));
        scene.network.wait(200);
        assert_eq!((scene.started(), scene.network.running(JOB)), (vec![2], 0));
        scene.network.loses_orders = false;
        scene.network.wait(370);
        if is_restored {
            scene.network.release(scene.second, scene.home);
        }
        // Each start checks that no other run of the task is there.
        scene.network.wait(3_000);
        assert!(scene.started().len() > 1, "the task is not started again");
    }
}

#[test]
fn an_unconfirmed_task_is_stopped_and_its_home_learns_of_that() {
    let mut scene = Scene::new();
    scene.network.hold(scene.second, scene.home);
    scene.forward();
    scene.network.wait(200);
    assert_eq!(scene.network.running(JOB), 1);
    scene.network.wait(100);
    assert_eq!(scene.network.running(JOB), 0);
    // The first keeper tells the home, which waits for the end of the lease.
    scene.network.wait(1_000);
    assert!(scene.started().len() > 1, "the task is not started again");
}

#[test]
fn a_task_that_arrives_late_is_not_taken() {
    let mut scene = Scene::new();
    scene.network.hold(scene.first, scene.second);
    scene.forward();
    scene.network.wait(200);
    scene.network.release(scene.first, scene.second);
    scene.network.wait(1);
    let taken = scene.network.sent(|message| matches!(message, Message::Taken(_)));
    let returned = scene.network.sent(|message| matches!(message, Message::Returned(_)));
    assert_eq!((taken, returned), (vec![], vec![(scene.second, scene.first)]));
    scene.network.wait(30);
    assert_eq!(scene.started().len(), 1, "its home does not place it again");
}

#[test]
fn a_task_whose_home_dies_in_the_meantime_is_given_up() {
    for is_noticed in [false, true] {
        let mut scene = Scene::new();
        scene.network.hold(scene.first, scene.second);
        scene.forward();
        scene.network.kill(scene.home);
        // At first the new keeper still counts the home as connected.
        scene.network.wait(if is_noticed { 900 } else { 20 });
        scene.network.release(scene.first, scene.second);
        scene.network.wait(300);
        assert_eq!(scene.network.running(JOB), 0);
        assert_eq!(scene.started().is_empty(), is_noticed);
    }
}

#[test]
fn a_cancellation_follows_the_task() {
    let mut scene = Scene::new();
    // The home does not hear of the new keeper.
    scene.network.hold(scene.second, scene.home);
    scene.forward();
    scene.network.wait(3);
    assert_eq!(scene.network.running(JOB), 1);
    scene.network.leave(scene.home, scene.waiter);
    scene.network.wait(5);
    assert_eq!(scene.network.running(JOB), 0);
    let cancels = scene.network.sent(|message| matches!(message, Message::Cancel(_)));
    assert_eq!(cancels, [(scene.home, scene.first), (scene.first, scene.second)]);
}

#[test]
fn a_cancellation_by_a_home_that_knows_the_new_keeper_goes_there() {
    let mut scene = Scene::new();
    scene.forward();
    scene.network.wait(5);
    scene.network.leave(scene.home, scene.waiter);
    scene.network.wait(5);
    assert_eq!(scene.network.running(JOB), 0);
}

/// Guards against tasks that travel between keepers which each believe that the other has room.
#[test]
fn a_task_does_not_bounce_between_full_keepers() {
    let mut scene = Scene::new();
    let keepers = [scene.first, scene.second, scene.third];
    for from in keepers {
        for to in keepers.into_iter().filter(|to| *to != from) {
            scene.network.silence(from, to);
        }
        scene.network.silence(from, scene.home);
    }
    scene.fill(scene.second, 4);
    scene.fill(scene.third, 2);
    scene.network.submit(scene.home, half_job(JOB, 1, scene.network.now));
    scene.network.wait(60);
    assert_eq!(scene.forwards()[..2], [(scene.first, scene.second), (scene.second, scene.third)]);
    assert!(scene.returned() > 0);
    let mut ways: BTreeMap<u32, Vec<Home>> = BTreeMap::new();
    for (from, to, message) in &scene.network.sent {
        if let Message::Forward(forward) = message {
            let way = ways.entry(forward.placement.tasks[0].run).or_default();
            way.extend([*from, *to]);
        }
    }
    for way in ways.values() {
        let distinct: BTreeSet<_> = way.iter().collect();
        assert!(way.len() <= 4 && distinct.len() == way.len() / 2 + 1, "{way:?}");
    }
    assert!(scene.started().is_empty());
}

/// Guards against a task that its home forgets: the home believes that the first keeper has it.
#[test]
fn a_new_keeper_that_dies_before_its_home_hears_of_it_is_reported_by_the_first() {
    for has_taken in [false, true] {
        let mut scene = Scene::new();
        scene.network.hold(scene.second, scene.home);
        if !has_taken {
            scene.network.hold(scene.first, scene.second);
        }
        scene.forward();
        scene.network.wait(2);
        assert_eq!(scene.started().len(), usize::from(has_taken));
        scene.network.kill(scene.second);
        scene.network.wait(2_000);
        assert_eq!(scene.started().len(), usize::from(has_taken));
        scene.network.wait(200);
        assert_eq!(scene.started().last(), Some(&3), "the task is not started again");
        scene.complete(3);
    }
}

/// Guards against a second run beside one of an earlier submission: only the first keeper knows when
/// that one has ended.
#[test]
fn a_task_whose_other_run_is_here_stays() {
    let mut scene = Scene::new();
    let mut network = Network::new(&[0, 3, 2, 1], options());
    network.submit(scene.first, half_job(JOB, 1, network.now));
    network.wait(5);
    let again = runs::Job { first_run: 21, ..half_job(JOB, 1, network.now) };
    network.submit(scene.home, again);
    network.wait(4);
    scene.network = network;
    assert_eq!((scene.forwards(), scene.started()), (vec![], vec![1]));
}

/// Guards against combinations of failures that no test here names. The simulation checks at each
/// start that no other run of the task is there, and that no rejected job runs.
#[test]
fn forwarded_tasks_never_run_twice_at_once_in_an_overloaded_site_with_faults() {
    let mut forwarded = 0;
    for seed in 0..24 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let faults = (0..14).map(|number| {
            let entry = random.random_range(0..6);
            let executor = random.random_range(0..24);
            let ms = random.random_range(100..2_500);
            let fault = match number % 5 {
                0 => Fault::Kill { entry },
                1 => Fault::Cut { entry, ms },
                2 => Fault::Freeze { entry, ms },
                3 => Fault::Dark { executor, ms },
                _ => Fault::Crash { executor },
            };
            (500 + number * 500 + random.random_range(0..400), fault)
        });
        let plan = Plan {
            entries: 6,
            data_centres: 3,
            executors: 24,
            rate: 100,
            seconds: 8,
            lost_orders: (seed % 2 == 0).then_some(30),
            faults: faults.collect(),
            ..Plan::default()
        };
        let mut simulation = Simulation::new(plan, seed);
        simulation.play();
        forwarded += simulation.traffic.forwarded;
    }
    assert!(forwarded > 1_000, "{forwarded} tasks forwarded");
}

/// Guards against a second run of a task whose home never heard of the first.
#[test]
fn the_options_leave_time_for_the_end_of_an_unknown_run() {
    let Options { lease, lapse_wait, unsure_wait, .. } = Options::default();
    // The longest time from a home's message until an unconfirmed run is stopped, 150 and 250 ms,
    // and the lease by a clock that is 2% slow.
    let unknown = Span::from_millis(400) + Span(lease.0 * 50 / 49);
    assert!(unknown < lapse_wait);
    assert!(unknown < Span::from_millis(450) + unsure_wait);
}
