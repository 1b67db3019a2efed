//! Which executors tasks go to where their speeds differ.

mod common;

use common::{
    executors::Scene,
    fixture::{executor, home, job, sign},
};
use lab::{
    pattern::Pattern,
    simulation::{DataCentre, Machine, Simulation},
    tally::Group,
    trial,
};
use runs::{
    Action, Entry, Event, Executor, Job, Message, Options,
    executor::Kind,
    job::Stretch,
    message::{Report, Room, SpeedClass},
    options::Choice,
    speed::{Factor, Measure},
};
use site::{
    id::{DataCentreId, EndpointId, Home, ServiceId, WaiterId},
    unit::{Cores, Resources, Slots, Span, Time},
};
use std::path::PathBuf;

const FAST: Factor = Factor(70);
const SLOW: Factor = Factor(170);

/// A job as a caller with an objective of 1.6 times the run time plus 60 ms sends it.
fn timed(now: Time, name: u64, ms: u64, tasks: u16) -> Job {
    let estimate = Span::from_millis(ms);
    Job {
        name: format!("{name:016x}").into(),
        tasks,
        needs: Resources { slots: Slots(1), cores: Cores(32_000), ..Resources::default() },
        estimate,
        due: now + Span::from_millis(ms * 8 / 5 + 60),
        give_up: now + Span::from_millis(ms * 7 + 250),
        stretch: Stretch(160),
        ..job(now)
    }
}

/// An executor of 64 cores, which hold two tasks.
fn of_kind(name: &str, kind: &str) -> Executor {
    Executor {
        id: EndpointId::of(name),
        name: name.into(),
        kind: Some(Kind(kind.into())),
        ..executor()
    }
}

fn measure(kind: &str, factor: Factor) -> Measure {
    Measure { kind: Kind(kind.into()), factor, weight: 100 }
}

/// A report of the speeds of kinds, from another entry.
fn speeds(now: Time, measures: &[Measure]) -> Event {
    let report =
        Report { sign: sign(now), idle: true, kinds: measures.to_vec(), ..Report::default() };
    Event::Message { from: home("entry-2"), message: Message::Report(report) }
}

/// A keeper of one executor of each of two kinds, whose speeds it has heard of.
fn keeper() -> Scene {
    let mut scene = Scene::new(vec![of_kind("i-a", "a"), of_kind("i-b", "b")]);
    scene.handle(Event::PeerUp { peer: home("entry-2") });
    hear(&mut scene, FAST, SLOW);
    scene
}

fn hear(scene: &mut Scene, a: Factor, b: Factor) {
    let report = speeds(scene.now, &[measure("a", a), measure("b", b)]);
    scene.handle(report);
    scene.wait(Span::from_millis(250));
}

fn submit(scene: &mut Scene, name: u64, ms: u64, tasks: u16) {
    let job = timed(scene.now, name, ms, tasks);
    scene.handle(Event::Submit { waiter: WaiterId(name), job });
}

/// The executors of the starts so far.
fn started(scene: &Scene) -> Vec<EndpointId> {
    scene.starts.iter().map(|(executor, ..)| *executor).collect()
}

/// Otherwise long tasks end late on slow executors that are free at the moment.
#[test]
fn long_tasks_wait_for_fast_executors_while_they_would_be_in_time_there() {
    let mut scene = keeper();
    submit(&mut scene, 1, 760, 3);
    assert_eq!(started(&scene), [EndpointId::of("i-a"); 2]);
    scene.wait(Span::from_millis(200));
    assert_eq!(scene.starts.len(), 2, "the third task is late on the slow executor");
    scene.wait(Span::from_millis(700));
    assert_eq!(started(&scene)[2..], [EndpointId::of("i-b")], "it is late on both by now");
}

/// Otherwise short tasks occupy the fast executors that long ones need.
#[test]
fn short_tasks_leave_fast_room_to_long_ones_that_came_lately() {
    let mut scene = keeper();
    let (a, b) = (EndpointId::of("i-a"), EndpointId::of("i-b"));
    for name in 1..=3 {
        submit(&mut scene, name, 760, 2);
        scene.executor(a).end_all();
        scene.wait(Span::from_millis(200));
    }
    assert_eq!(started(&scene), [a; 6]);
    scene.starts.clear();
    submit(&mut scene, 4, 60, 3);
    assert_eq!(started(&scene), [b, b, a], "fast room is not left idle when slow room is full");
}

/// Otherwise slow executors would be used while fast ones are idle.
#[test]
fn short_tasks_use_fast_executors_that_no_other_task_needs() {
    let mut scene = keeper();
    submit(&mut scene, 1, 60, 1);
    assert_eq!(started(&scene), [EndpointId::of("i-a")]);
}

/// A kind can turn slow, for example with another version of its machines. Otherwise tasks would
/// wait for executors that are no longer fast.
#[test]
fn tasks_go_elsewhere_when_a_kind_turns_slow() {
    let mut scene = keeper();
    hear(&mut scene, Factor(300), SLOW);
    submit(&mut scene, 1, 760, 1);
    assert_eq!(started(&scene), [EndpointId::of("i-b")]);
}

/// A job may limit its tasks on one executor. Otherwise the rest of them would wait for executors that
/// they must not use.
#[test]
fn tasks_do_not_wait_for_executors_that_hold_as_many_of_their_job_as_it_allows() {
    let mut scene = keeper();
    let job = Job { per_executor: Some(1), ..timed(scene.now, 1, 760, 2) };
    scene.handle(Event::Submit { waiter: WaiterId(1), job });
    assert_eq!(started(&scene), ["i-a", "i-b"].map(EndpointId::of));
}

/// Reports of room don't name services. Otherwise tasks would wait for fast executors of another one.
#[test]
fn keepers_of_several_services_do_not_choose_by_speed() {
    let other = Executor { service: ServiceId::of("other"), ..of_kind("i-c", "a") };
    let mut scene = Scene::new(vec![of_kind("i-a", "a"), of_kind("i-b", "b"), other]);
    scene.handle(Event::PeerUp { peer: home("entry-2") });
    hear(&mut scene, FAST, SLOW);
    submit(&mut scene, 1, 760, 3);
    assert_eq!(scene.starts.len(), 3, "the third task does not wait for the fast executors");
}

/// Two kinds that differ by less than half, and two that don't differ.
#[test]
fn executors_of_similar_speed_are_used_as_if_they_had_no_kind() {
    for factor in [Factor(100), Factor(120)] {
        let mut scene = Scene::new(vec![of_kind("i-a", "a"), of_kind("i-b", "b")]);
        let mut plain = Scene::new(vec![
            Executor { kind: None, ..of_kind("i-a", "a") },
            Executor { kind: None, ..of_kind("i-b", "b") },
        ]);
        scene.handle(Event::PeerUp { peer: home("entry-2") });
        hear(&mut scene, Factor(100), factor);
        plain.handle(Event::PeerUp { peer: home("entry-2") });
        hear(&mut plain, Factor(100), factor);
        for (name, ms) in [(1, 760), (2, 60), (3, 170), (4, 760)] {
            submit(&mut scene, name, ms, 1);
            submit(&mut plain, name, ms, 1);
        }
        assert_eq!(started(&scene), started(&plain));
    }
}

fn keeper_home(name: &str, data_centre: u64) -> Home {
    Home { data_centre: DataCentreId(data_centre), ..home(name) }
}

/// The keeper that an entry without executors sends a task to at once, and the one that it sends it
/// to within half a second. One keeper is in its data centre, the other is not.
fn placed(near: Room, far: Room, ms: u64) -> (Option<&'static str>, Option<&'static str>) {
    let begun = Time(1_000_000);
    let mut entry = Entry::new(home("entry-1"), Options::default(), begun);
    let mut out = Vec::new();
    let keepers = [("near", keeper_home("near", 1), near), ("far", keeper_home("far", 2), far)];
    for (_, peer, room) in &keepers {
        entry.handle(begun, Event::PeerUp { peer: *peer }, &mut out);
        let report =
            Report { sign: sign(begun), room: room.clone(), capacity: 8, ..Report::default() };
        let message = Message::Report(report);
        entry.handle(begun, Event::Message { from: *peer, message }, &mut out);
    }
    out.clear();
    let job = timed(begun, 1, ms, 1);
    entry.handle(begun, Event::Submit { waiter: WaiterId(1), job }, &mut out);
    let to = |out: &[Action]| {
        let receiver = |action: &Action| match action {
            Action::Send { to, message: Message::Place(_) } => Some(*to),
            _ => None,
        };
        let to = out.iter().find_map(receiver)?;
        keepers.iter().find(|(_, peer, _)| *peer == to).map(|(name, ..)| *name)
    };
    let first = to(&out);
    for step in 1..=45 {
        entry.handle(begun + Span::from_millis(20 * step), Event::Tick, &mut out);
    }
    (first, to(&out))
}

/// Room for one task on an executor of each of these speeds; `None` for a full one.
fn room(classes: &[(Factor, Option<u32>)]) -> Room {
    let speeds = classes.iter().map(|(factor, free)| SpeedClass {
        factor: *factor,
        executors: free.is_some().into(),
        largest: 64,
    });
    Room {
        cores: classes.iter().filter_map(|(_, free)| *free).collect(),
        ahead: 0,
        speeds: speeds.collect(),
    }
}

/// Otherwise a job is late in its own data centre although it would be in time next to it.
#[test]
fn fast_room_far_away_is_preferred_where_it_decides_whether_a_job_is_in_time() {
    let near = room(&[(FAST, None), (SLOW, Some(64_000))]);
    let far = room(&[(FAST, Some(64_000)), (SLOW, None)]);
    assert_eq!(placed(near.clone(), far.clone(), 760).0, Some("far"));
    assert_eq!(placed(near, far, 60).0, Some("near"));
}

/// Otherwise a job is late although the fast executors are about to be free again.
#[test]
fn homes_hold_tasks_back_from_slow_room_until_they_are_late_anywhere() {
    let near = room(&[(FAST, None), (SLOW, Some(64_000))]);
    assert_eq!(placed(near, Room::default(), 760), (None, Some("near")));
}

/// The fast executors of a site can be lost. Otherwise tasks would wait for them.
#[test]
fn slow_room_is_used_at_once_where_there_are_no_fast_executors() {
    let near = room(&[(SLOW, Some(64_000))]);
    assert_eq!(placed(near, Room::default(), 760).0, Some("near"));
}

/// Otherwise a task waits for executors that can never run it.
#[test]
fn slow_room_is_used_at_once_where_the_fast_executors_are_too_small() {
    let mut near = room(&[(FAST, None), (SLOW, Some(64_000))]);
    near.speeds[0].largest = 0;
    assert_eq!(placed(near, Room::default(), 760).0, Some("near"));
}

/// An entry that started later than the others does not tell speeds yet. Otherwise its executors
/// would not be used, or be taken for the fastest.
#[test]
fn room_of_keepers_that_report_no_speed_counts_as_of_usual_speed() {
    let unknown = || Room { cores: vec![64_000], ahead: 0, speeds: Vec::new() };
    let slow = || room(&[(FAST, None), (SLOW, Some(64_000))]);
    assert_eq!(placed(slow(), unknown(), 760).0, Some("far"));
    assert_eq!(placed(unknown(), room(&[(FAST, Some(64_000))]), 760).0, Some("near"));
    assert_eq!(placed(unknown(), unknown(), 760).0, Some("near"));
}

/// Reports of room are sent often. Two kinds may add a few bytes, whatever the number of executors.
#[test]
fn speeds_add_little_to_reports_of_room() -> Result<(), postcard::Error> {
    let cores: Vec<u32> = (0..44).map(|number| 32_000 + number * 400).collect();
    let alike = Room { cores, ahead: 0, speeds: Vec::new() };
    let class = |factor, executors| SpeedClass { factor, executors, largest: 96 };
    let speeds = vec![class(FAST, 30), class(SLOW, 14)];
    let uneven = Room { speeds, ..alike.clone() };
    let (alike, uneven) =
        (postcard::to_allocvec(&alike)?.len(), postcard::to_allocvec(&uneven)?.len());
    assert!(uneven - alike <= 6, "{alike} bytes, {uneven} with speeds");
    Ok(())
}

/// The load of a site with uneven executors, on a smaller site of this choice.
fn pattern(choice: Choice) -> Pattern {
    let file = "../../lab/patterns/uneven-executors.json";
    let pattern = Pattern::load(&PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(file));
    let pattern = pattern.expect("a pattern");
    let zone = DataCentre { entries: 3, executors: 45, share: 1.0, large: 1 };
    let load = pattern.load * 90.0 / 350.0;
    let options = Options { choice, ..pattern.options };
    Pattern { zones: vec![zone; 2], load, seconds: 8, options, ..pattern }
}

/// Otherwise a third of the long jobs are late, and what is won for them must not be lost by others.
#[test]
fn jobs_are_in_time_on_executors_of_different_speeds() {
    let shares = |choice| {
        let pattern = pattern(choice);
        let tallies: Vec<_> = (0..2).map(|seed| trial::play(&pattern, seed)).collect();
        let share = |kind| trial::mean(&tallies, |t| t.kinds.get(&kind).map_or(0.0, Group::share));
        [0, 1, 2].map(share)
    };
    let (before, after) = (shares(Choice::Fastest), shares(Choice::Reserve));
    assert!(after[1] > before[1] + 0.05, "long: {before:?}, {after:?}");
    assert!(after[0] > before[0] - 0.02 && after[2] > before[2] - 0.02, "{before:?}, {after:?}");
}

/// Where executors are alike, or differ by less than half, the choice must change nothing. Each
/// answer comes at the same microsecond, after the same starts and reports.
#[test]
fn the_choice_changes_nothing_where_executors_are_alike() {
    let machine =
        |kind: &str, run_time_percent| Machine { kind: Kind(kind.into()), run_time_percent };
    let similar = vec![machine("a", 100), machine("b", 120)];
    for machines in [Vec::new(), similar] {
        let play = |choice| {
            let pattern = Pattern { machines: machines.clone(), seconds: 3, ..pattern(choice) };
            let mut simulation = Simulation::new(pattern.plan(1), 1);
            simulation.play();
            let Simulation { records, answers, starts, begun_work, reports, .. } = &simulation;
            format!("{starts} {begun_work} {reports} {answers:?} {records:?}")
        };
        let plain = play(Choice::Fastest);
        assert!(play(Choice::Reserve) == plain && play(Choice::Slowest) == plain);
    }
}
