//! Several threads in one entry, with many interleavings of their locks. Seeds are fixed.

#[path = "../../common/site.rs"]
#[allow(dead_code, missing_docs, unreachable_pub)]
mod common;

use bytes::Bytes;
use common::{Shape, Work, executor_id, firm, id};
use interleave::{
    Action, Entry, Event, Message,
    entry::Options,
    event::{Reply, Report},
};
use shuttle::{
    Config, Runner,
    scheduler::{PctScheduler, RandomScheduler},
    thread,
};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation, RackId, SubmissionId, WaiterId},
    submission::{Answer, Failure, Outcome, Output},
    unit::{Revision, Span, Time},
};
use std::{collections::BTreeMap, sync::Arc};

const RUNS: usize = 400;
const SEED: u64 = 7;

/// Runs `scenario` under many schedules.
fn explore(scenario: impl Fn() + Send + Sync + Clone + 'static) {
    let random = RandomScheduler::new_from_seed(SEED, RUNS);
    Runner::new(random, Config::new()).run(scenario.clone());
    let priorities = PctScheduler::new_from_seed(SEED, 3, RUNS);
    Runner::new(priorities, Config::new()).run(scenario);
}

fn entry(shape: &Shape) -> Arc<Entry> {
    let home = Home {
        data_centre: DataCentreId::of(&common::data_centre(0)),
        entry: EntryId(1),
        incarnation: Incarnation(1),
    };
    Arc::new(Entry::new(Options {
        home,
        rack: RackId(1),
        seed: 1,
        site: shape.build(),
        revision: Revision(1),
        membership: membership::Options::default(),
        answer_bytes: 1 << 20,
        slots_per_lead: 100,
    }))
}

fn handle(entry: &Entry, now: Time, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    entry.handle(now, event, &mut out);
    out
}

/// Lets each thread handle its events at `now`. Returns the actions of all.
fn race(entry: &Arc<Entry>, now: Time, threads: Vec<Vec<Event>>) -> Vec<Action> {
    let spawn = |events: Vec<Event>| {
        let entry = entry.clone();
        let all = move || events.into_iter().flat_map(|event| handle(&entry, now, event)).collect();
        thread::spawn(all)
    };
    let running: Vec<thread::JoinHandle<Vec<Action>>> = threads.into_iter().map(spawn).collect();
    running.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
}

fn submit(waiter: u64, work: &Work, id: SubmissionId) -> Event {
    Event::Submit { waiter: WaiterId(waiter), submission: work.submission(id) }
}

fn cancel(waiter: u64, work: &Work, id: SubmissionId) -> Event {
    Event::Cancel { waiter: WaiterId(waiter), id, firm: firm(work.firm) }
}

/// Returns reports of success for all started tasks.
fn reports(actions: &[Action]) -> Vec<Event> {
    let report = |action: &Action| match action {
        Action::Start(start) => {
            let body = Bytes::from(start.task.to_string());
            let output = Output { status: 200, content_type: "text/plain".into(), body };
            let elapsed = Span::from_millis(50);
            let reply = Reply::Done(output);
            Some(Event::Report(Report { attempt: start.attempt, reply, leaving: false, elapsed }))
        }
        _ => None,
    };
    actions.iter().filter_map(report).collect()
}

fn starts(actions: &[Action]) -> BTreeMap<site::id::TaskId, usize> {
    let mut starts = BTreeMap::new();
    for action in actions {
        if let Action::Start(start) = action {
            *starts.entry(start.task).or_default() += 1;
        }
    }
    starts
}

fn answers(actions: &[Action]) -> Vec<(WaiterId, SubmissionId, Arc<Answer>)> {
    let answer = |action: &Action| match action {
        Action::Answer { waiter, id, answer } => Some((*waiter, *id, answer.clone())),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
}

fn is_not_run(answer: &Answer) -> bool {
    matches!(answer, Answer::Failed(Failure { outcome: Outcome::NotRun, .. }))
}

/// Reports success for every started task until no more start.
fn finish(entry: &Entry, actions: &mut Vec<Action>) {
    let mut next = reports(actions);
    while !next.is_empty() {
        let more: Vec<_> =
            next.into_iter().flat_map(|event| handle(entry, Time(60_000), event)).collect();
        next = reports(&more);
        actions.extend(more);
    }
}

/// Checks that every waiter up to `waiters` has one answer, that every task started once, and that
/// equal identifiers got equal answers.
fn check(actions: &[Action], waiters: u64) {
    assert!(starts(actions).values().all(|count| *count == 1));
    let answers = answers(actions);
    let mut told: Vec<_> = answers.iter().map(|(waiter, ..)| waiter.0).collect();
    told.sort_unstable();
    assert_eq!(told, (1..=waiters).collect::<Vec<_>>());
    for (_, id, answer) in &answers {
        let same = answers.iter().filter(|(_, other, _)| other == id);
        assert!(same.clone().all(|(.., other)| other == answer), "{answers:?}");
    }
}

#[test]
fn a_submission_on_several_threads_at_once_is_admitted_once() {
    explore(|| {
        let entry = entry(&Shape::default());
        let (work, id) = (Work::job("a", 3), id(entry.own_token(), 1));
        let threads = (1..=3).map(|waiter| vec![submit(waiter, &work, id)]).collect();
        let mut actions = race(&entry, Time(0), threads);
        finish(&entry, &mut actions);
        check(&actions, 3);
        assert_eq!(starts(&actions).len(), 3);
        assert_eq!(entry.open_submissions(), 0);
    });
}

#[test]
fn concurrent_report_cancellation_resubmission_and_tick_give_equal_answers() {
    explore(|| {
        let entry = entry(&Shape::default());
        let (work, id) = (Work::job("a", 2), id(entry.own_token(), 1));
        let mut actions = handle(&entry, Time(0), submit(1, &work, id));
        let threads = vec![
            reports(&actions),
            vec![cancel(2, &work, id)],
            vec![submit(3, &work, id), Event::Tick],
        ];
        actions.extend(race(&entry, Time(50_000), threads));
        check(&actions, 3);
        assert_eq!(entry.open_submissions(), 0);
    });
}

#[test]
fn a_concurrent_cancellation_does_not_report_not_run_for_a_started_task() {
    explore(|| {
        let entry = entry(&Shape::default());
        let (work, id) = (Work::job("a", 2), id(entry.own_token(), 1));
        let threads = vec![vec![submit(1, &work, id)], vec![cancel(2, &work, id)]];
        let mut actions = race(&entry, Time(0), threads);
        finish(&entry, &mut actions);
        check(&actions, 2);
        let denied = answers(&actions).iter().any(|(.., answer)| is_not_run(answer));
        assert!(
            !denied || starts(&actions).is_empty(),
            "a task starts although its caller was told that it did not run"
        );
        assert_eq!(entry.open_submissions(), 0);
    });
}

#[test]
fn concurrent_submissions_reports_and_cancellations_lose_no_slot() {
    explore(|| {
        let entry = entry(&Shape { executors: 1, ..Shape::default() });
        let token = entry.own_token();
        let works: Vec<_> = (0..4).map(|number| Work::job(&number.to_string(), 2)).collect();
        let ids: Vec<_> = (0..4).map(|number| id(token, number)).collect();
        let mut actions = handle(&entry, Time(0), submit(1, &works[0], ids[0]));
        let threads = vec![
            reports(&actions),
            vec![submit(2, &works[1], ids[1]), cancel(3, &works[1], ids[1])],
            vec![submit(4, &works[2], ids[2]), Event::Tick],
        ];
        actions.extend(race(&entry, Time(50_000), threads));
        // What was already reported has no second report.
        let mut rest = actions.split_off(2.min(actions.len()));
        finish(&entry, &mut rest);
        let after = handle(&entry, Time(70_000), submit(5, &works[3], ids[3]));
        assert_eq!(starts(&after).len(), 2);
        assert_eq!(entry.open_submissions(), 1);
    });
}

#[test]
fn nothing_is_admitted_after_a_concurrent_drain_has_ended() {
    explore(|| {
        let entry = entry(&Shape::default());
        let (work, id) = (Work::job("a", 2), id(entry.own_token(), 1));
        let threads = vec![vec![submit(1, &work, id)], vec![Event::Drain]];
        let actions = race(&entry, Time(0), threads);
        let exited = actions.iter().any(|action| matches!(action, Action::Exit));
        assert!(!exited || starts(&actions).is_empty(), "a task starts although the process exits");
        assert!(!exited || answers(&actions).len() == 1, "the process exits without an answer");
    });
}

#[test]
fn nothing_is_admitted_after_a_concurrent_drain_has_handed_over_the_table() {
    explore(|| {
        let entry = entry(&Shape::default());
        let peer = Home { entry: EntryId(2), incarnation: Incarnation(2), ..entry.home() };
        handle(&entry, Time(0), Event::PeerUp { peer });
        let (work, id) = (Work::job("a", 2), id(entry.own_token(), 1));
        let threads = vec![vec![submit(1, &work, id)], vec![Event::Drain]];
        let actions = race(&entry, Time(0), threads);
        let is_handover =
            |action: &Action| matches!(action, Action::Send { message: Message::Handover(_), .. });
        let handed_over = actions.iter().any(is_handover);
        assert!(
            !handed_over || answers(&actions).len() == 1,
            "a submission was admitted and not handed over"
        );
    });
}

#[test]
fn an_identifier_is_not_admitted_again_while_its_epoch_is_forgotten() {
    explore(|| {
        let entry = entry(&Shape::default());
        let (work, id) = (Work::job("a", 1), id(entry.own_token(), 1));
        let mut actions = handle(&entry, Time(0), submit(1, &work, id));
        finish(&entry, &mut actions);
        let last = Time(interleave::entry::EPOCH.0 * u64::from(interleave::entry::EPOCHS));
        handle(&entry, Time(last.0 - 1), Event::Tick);
        let threads = vec![vec![submit(2, &work, id)], vec![Event::Tick]];
        let again = race(&entry, last, threads);
        assert!(starts(&again).is_empty(), "a task starts a second time");
    });
}

#[test]
fn the_newer_of_two_concurrent_settings_wins() {
    explore(|| {
        let shape = Shape::default();
        let entry = entry(&shape);
        let settings = |revision: u64, leaving: usize| Event::Settings {
            revision: Revision(revision),
            site: Shape { leaving: vec![leaving], ..shape.clone() }.build(),
        };
        race(&entry, Time(0), vec![vec![settings(2, 0)], vec![settings(3, 1)]]);
        let (work, id) = (Work::job("a", 2), id(entry.own_token(), 1));
        let actions = handle(&entry, Time(0), submit(1, &work, id));
        let on = |action: &Action| match action {
            Action::Start(start) => Some(start.endpoint),
            _ => None,
        };
        let used: Vec<_> = actions.iter().filter_map(on).collect();
        assert_eq!(used, vec![executor_id(0); 2], "the older settings are in force");
    });
}
