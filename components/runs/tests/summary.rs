//! What an entry of a large site believes of work that waits at entries that it is not connected to.

mod common;

use common::fixture::{executor, home, job};
use runs::{
    Action, Entry, Event, Message, Options,
    job::Answer,
    load::{Load, Summary},
    message::Report,
};
use site::{
    id::{DataCentreId, Home, WaiterId},
    unit::{Span, Time},
};

/// More cores than the executors give back in a minute.
const EXCESS: u64 = 6_000_000;

const CALM: Load = Load { waiting: 0, free: 0, turnover: 100_000, unmeasured: 0 };

fn far(name: &str) -> Home {
    Home { data_centre: DataCentreId(2), ..home(name) }
}

/// Whether an entry that heard these reports takes a job in.
fn accepts(reports: &[(Home, Report)]) -> bool {
    let now = Time(1_000_000);
    let mut entry = Entry::new(home("entry-0"), Options::default(), now);
    let mut out = Vec::new();
    for (peer, report) in reports {
        entry.handle(now, Event::PeerUp { peer: *peer }, &mut out);
        let message = Message::Report(report.clone());
        entry.handle(now, Event::Message { from: *peer, message }, &mut out);
    }
    out.clear();
    entry.handle(now, Event::Submit { waiter: WaiterId(1), job: job(now) }, &mut out);
    let refuses =
        |action: &Action| matches!(action, Action::Answer { answer: Answer::Refused { .. }, .. });
    !out.iter().any(refuses)
}

fn report(load: Load, entries: u32, near: Load) -> Report {
    Report { load, near: Summary { entries, load: near }, ..Report::default() }
}

#[test]
fn work_that_waits_at_entries_behind_a_keeper_counts() {
    let waiting = Load { waiting: EXCESS, ..CALM };
    assert!(accepts(&[(far("keeper-1"), report(CALM, 1, CALM))]));
    assert!(!accepts(&[(far("keeper-1"), report(CALM, 40, waiting))]));
    assert!(!accepts(&[(home("keeper-1"), report(CALM, 40, waiting))]));
}

/// Each data centre counts once, whoever has added it up.
#[test]
fn sums_of_several_keepers_do_not_add_up() {
    let load = Load { waiting: 12_000, turnover: 100_000, ..Load::default() };
    let keepers = (0..40).map(|n| (far(&format!("keeper-{n}")), report(load, 100, load)));
    assert!(accepts(&keepers.collect::<Vec<_>>()));
}

/// Whoever is connected to more entries than a keeper has heard of believes itself.
#[test]
fn a_keeper_that_hears_of_few_is_not_believed() {
    let waiting = Load { waiting: EXCESS, ..CALM };
    let mut heard: Vec<_> =
        (0..5).map(|n| (far(&format!("keeper-{n}")), report(CALM, 5, CALM))).collect();
    heard[0].1.near = Summary { entries: 2, load: waiting };
    assert!(accepts(&heard));
}

#[test]
fn keepers_add_up_their_data_centre() {
    let now = Time(1_000_000);
    let mut entry = Entry::new(home("entry-0"), Options::default(), now);
    let mut out = Vec::new();
    entry.handle(now, Event::Executors(vec![executor()]), &mut out);
    for (peer, waiting) in [(home("small-1"), 3), (home("small-2"), 5), (far("keeper-1"), 100)] {
        entry.handle(now, Event::PeerUp { peer }, &mut out);
        let load = Load { waiting, ..Load::default() };
        let message = Message::Report(Report { load, ..Report::default() });
        entry.handle(now, Event::Message { from: peer, message }, &mut out);
    }
    out.clear();
    for step in 1..=100 {
        entry.handle(now + Span::from_millis(20 * step), Event::Tick, &mut out);
    }
    let near = out.iter().find_map(|action| match action {
        Action::Send { message: Message::Report(report), .. } => Some(report.near),
        _ => None,
    });
    let near = near.expect("a report");
    assert_eq!((near.entries, near.load.waiting), (3, 8));
}
