//! How often entries report their room to each other.

mod common;

use common::fixture::{home, job, sign};
use lab::simulation::{Plan, Simulation};
use runs::{
    Action, Entry, Event, Message, Options,
    message::{Report, Room},
};
use site::{
    id::{Home, WaiterId},
    unit::{Span, Time},
};

const SECONDS: u64 = 2;

/// Reports that an entry sends per second on average, each to one peer.
fn reports(entries: usize) -> u64 {
    let plan = Plan {
        entries,
        data_centres: 5,
        executors: 140,
        rate: 400,
        seconds: SECONDS,
        ..Plan::default()
    };
    let mut simulation = Simulation::new(plan, 7);
    simulation.play();
    simulation.reports / entries as u64 / SECONDS
}

/// Eight peers get each change, all 34 a report every 150 ms. If all got each change, an entry
/// would send 592 a second.
#[test]
fn reports_per_entry_are_bounded_in_a_large_site() {
    let reports = reports(35);
    assert!(reports <= 400, "{reports} reports a second");
}

/// If all 104 peers got a report every 150 ms, an entry would send 757 a second.
#[test]
fn reports_per_entry_do_not_grow_with_three_times_the_entries() {
    let reports = reports(105);
    assert!(reports <= 400, "{reports} reports a second");
}

/// Reports that an entry sends per second while executors are hardly used.
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
    let mut simulation = Simulation::new(plan, 7);
    simulation.play();
    simulation.reports / 35 / SECONDS
}

/// A job finds room without knowing of each change: changes go with the reports that are due
/// anyway, 53 a second to eight near peers and 48 to the others, and half as many for pending jobs.
/// If room never counts as ample, an entry sends 224 a second.
#[test]
fn changes_of_ample_room_are_reported_rarely() {
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

/// New room is reported at once to peers with pending tasks, so they have to be known.
#[test]
fn peers_get_a_report_at_once_when_a_job_becomes_pending() {
    let (me, peer) = (home("entry-1"), home("entry-2"));
    let begun = Time(1_000_000);
    let mut entry = Entry::new(me, Options::default(), begun);
    let mut out = Vec::new();
    entry.handle(begun, Event::PeerUp { peer }, &mut out);
    entry.handle(begun + Span::from_millis(20), Event::Tick, &mut out);
    out.clear();
    let now = begun + Span::from_millis(25);
    entry.handle(now, Event::Submit { waiter: WaiterId(1), job: job(now) }, &mut out);
    let reported = reports_to(&out, peer);
    assert!(matches!(reported[..], [report] if report.load.pending > 0), "{reported:?}");
}

/// Longest time without a report to `keeper`, which has a task of the entry, while another job
/// becomes pending after `wait`.
fn longest_silence(peers: &[Home], keeper: Home, wait: Span) -> Span {
    let begun = Time(1_000_000);
    let mut entry = Entry::new(home("entry-1"), Options::default(), begun);
    let mut out = Vec::new();
    for peer in peers {
        entry.handle(begun, Event::PeerUp { peer: *peer }, &mut out);
    }
    let room = Room { cores: vec![1_000], ahead: 0, speeds: Vec::new() };
    let report = Report { sign: sign(begun), room, capacity: 1, ..Report::default() };
    entry.handle(
        begun,
        Event::Message { from: keeper, message: Message::Report(report) },
        &mut out,
    );
    entry.handle(begun, Event::Submit { waiter: WaiterId(1), job: job(begun) }, &mut out);
    let (mut reported, mut longest) = (begun, Span::ZERO);
    for step in 1..=200 {
        out.clear();
        let now = begun + Span::from_millis(5 * step);
        entry.handle(now, Event::Tick, &mut out);
        if now.since(begun) == wait {
            entry.handle(now, Event::Submit { waiter: WaiterId(2), job: job(now) }, &mut out);
        }
        if !reports_to(&out, keeper).is_empty() {
            longest = longest.max(now.since(reported));
            reported = now;
        }
    }
    longest.max((begun + Span::from_secs(1)).since(reported))
}

/// A keeper gives up the tasks of a home that it got no report from for 500 ms, three report
/// intervals.
#[test]
fn keepers_of_tasks_get_reports_of_the_home_in_time() {
    let peers: Vec<_> = (0..12).map(|number| home(&format!("peer-{number}"))).collect();
    for keeper in &peers {
        for wait in [100, 140, 290] {
            let silence = longest_silence(&peers, *keeper, Span::from_millis(wait));
            assert!(silence <= Span::from_millis(500 / 3), "{keeper}, {wait} ms: {silence}");
        }
    }
}

/// In a large site most entries keep no executor, and their reports cost all keepers processor
/// time.
#[test]
fn entries_without_executors_or_pending_jobs_report_rarely() {
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
