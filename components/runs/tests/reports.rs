//! How often entries tell each other of their room.

mod common;

use common::fixture::{home, job};
use lab::world::{Plan, World};
use runs::{
    Action, Entry, Event, Message, Options,
    message::{Report, Room},
};
use site::{
    id::{Home, WaiterId},
    unit::{Span, Time},
};

const SECONDS: u64 = 2;

/// Reports that an entry sends in a second on average, each to one peer.
fn reports(entries: usize) -> u64 {
    let plan = Plan {
        entries,
        data_centres: 5,
        executors: 140,
        rate: 400,
        seconds: SECONDS,
        ..Plan::default()
    };
    let mut world = World::new(plan, 7);
    world.play();
    world.reports / entries as u64 / SECONDS
}

/// Eight peers hear of each change, all 34 every 150 ms. If all heard of each change, an entry sent
/// 592.
#[test]
fn a_large_site_does_not_multiply_the_reports_of_an_entry() {
    let reports = reports(35);
    assert!(reports <= 400, "{reports} reports a second");
}

/// If all 104 peers heard of an entry every 150 ms, it sent 757.
#[test]
fn three_times_the_entries_do_not_multiply_the_reports_of_each() {
    let reports = reports(105);
    assert!(reports <= 400, "{reports} reports a second");
}

/// Reports of each entry in a second where executors are hardly used.
fn reports_at_rest(ample_percent: u64) -> u64 {
    let options = Options { ample_percent, ..Options::default() };
    let plan = Plan {
        entries: 35,
        data_centres: 5,
        executors: 140,
        rate: 100,
        seconds: SECONDS,
        options,
        ..Plan::default()
    };
    let mut world = World::new(plan, 7);
    world.play();
    world.reports / 35 / SECONDS
}

/// A job finds room without knowing of each change: changes go with the reports that are due anyway,
/// 53 a second to eight near peers and 48 to the others, and half as many for jobs that wait. If room
/// never counts as ample, an entry sends 224.
#[test]
fn changes_of_ample_room_are_told_rarely() {
    let few = reports_at_rest(50);
    assert!(few <= (53 + 48) * 3 / 2, "{few} reports a second");
}

fn reports_to(out: &[Action], peer: Home) -> Vec<&Report> {
    out.iter()
        .filter_map(|action| match action {
            Action::Send { to, message: Message::Report(report) } if *to == peer => Some(report),
            _ => None,
        })
        .collect()
}

/// Room that comes is told to those whose jobs wait, so that they must be known.
#[test]
fn peers_hear_at_once_that_a_job_waits() {
    let (me, peer) = (home("entry-1"), home("entry-2"));
    let begun = Time(1_000_000);
    let mut entry = Entry::new(me, Options::default(), begun);
    let mut out = Vec::new();
    entry.handle(begun, Event::PeerUp { peer }, &mut out);
    entry.handle(begun + Span::from_millis(20), Event::Tick, &mut out);
    out.clear();
    let now = begun + Span::from_millis(25);
    entry.handle(now, Event::Submit { waiter: WaiterId(1), job: job(now) }, &mut out);
    let told = reports_to(&out, peer);
    assert!(matches!(told[..], [report] if report.load.waiting > 0), "{told:?}");
}

/// Longest time without a report to `keeper`, which has a task of the entry, while another job begins
/// to wait after `wait`.
fn longest_silence(peers: &[Home], keeper: Home, wait: Span) -> Span {
    let begun = Time(1_000_000);
    let mut entry = Entry::new(home("entry-1"), Options::default(), begun);
    let mut out = Vec::new();
    for peer in peers {
        entry.handle(begun, Event::PeerUp { peer: *peer }, &mut out);
    }
    let room = Room { cores: vec![1_000], ahead: 0 };
    let report = Report { sent: begun, room, capacity: 1, ..Report::default() };
    entry.handle(
        begun,
        Event::Message { from: keeper, message: Message::Report(report) },
        &mut out,
    );
    entry.handle(begun, Event::Submit { waiter: WaiterId(1), job: job(begun) }, &mut out);
    let (mut told, mut longest) = (begun, Span::ZERO);
    for step in 1..=200 {
        out.clear();
        let now = begun + Span::from_millis(5 * step);
        entry.handle(now, Event::Tick, &mut out);
        if now.since(begun) == wait {
            entry.handle(now, Event::Submit { waiter: WaiterId(2), job: job(now) }, &mut out);
        }
        if !reports_to(&out, keeper).is_empty() {
            longest = longest.max(now.since(told));
            told = now;
        }
    }
    longest.max((begun + Span::from_secs(1)).since(told))
}

/// A keeper gives the tasks of a home up that it has not heard of for 500 ms, three reports.
#[test]
fn keepers_of_tasks_hear_of_their_home_in_time() {
    let peers: Vec<_> = (0..12).map(|number| home(&format!("peer-{number}"))).collect();
    for keeper in &peers {
        for wait in [100, 140, 290] {
            let silence = longest_silence(&peers, *keeper, Span::from_millis(wait));
            assert!(silence <= Span::from_millis(500 / 3), "{keeper}, {wait} ms: {silence}");
        }
    }
}

/// In a large site most entries keep nothing, and what they report at rest costs all keepers time.
#[test]
fn entries_without_executors_or_waiting_jobs_report_rarely() {
    let begun = Time(1_000_000);
    let mut entry = Entry::new(home("entry-1"), Options::default(), begun);
    let mut out = Vec::new();
    for number in 0..13 {
        entry.handle(begun, Event::PeerUp { peer: home(&format!("peer-{number}")) }, &mut out);
    }
    entry.handle(begun + Span::from_millis(20), Event::Tick, &mut out);
    out.clear();
    for step in 2..=200 {
        entry.handle(begun + Span::from_millis(20 * step), Event::Tick, &mut out);
    }
    let sent = out.iter().filter(|action| matches!(action, Action::Send { .. })).count();
    assert!(sent <= 13 * 4, "{sent} reports in four seconds to 13 peers");
}
