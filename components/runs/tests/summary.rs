//! What an entry of a large site knows of the work that is pending at entries that it is not
//! connected to.

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

/// Pending work in thousandths of a core: what the executors free in a minute.
const MINUTE_OF_WORK: u64 = 6_000_000;

const CALM: Load = Load { pending: 0, free: 0, throughput: 100_000, unmeasured: 0 };

fn far(name: &str) -> Home {
    Home { data_centre: DataCentreId(2), ..home(name) }
}

/// Whether an entry that got these reports admits a job.
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
    let is_rejection =
        |action: &Action| matches!(action, Action::Answer { answer: Answer::Rejected { .. }, .. });
    !out.iter().any(is_rejection)
}

fn report(load: Load, entries: u32, sum: Load) -> Report {
    Report { load, data_centre_load: Summary { entries, load: sum }, ..Report::default() }
}

#[test]
fn pending_work_of_entries_summed_by_a_keeper_counts() {
    let pending = Load { pending: MINUTE_OF_WORK, ..CALM };
    assert!(accepts(&[(far("keeper-1"), report(CALM, 1, CALM))]));
    assert!(!accepts(&[(far("keeper-1"), report(CALM, 40, pending))]));
    assert!(!accepts(&[(home("keeper-1"), report(CALM, 40, pending))]));
}

/// Each data centre counts once, however many entries report its sum.
#[test]
fn sums_of_keepers_in_one_data_centre_are_not_added() {
    let load = Load { pending: 12_000, throughput: 100_000, ..Load::default() };
    let keepers = (0..40).map(|n| (far(&format!("keeper-{n}")), report(load, 100, load)));
    assert!(accepts(&keepers.collect::<Vec<_>>()));
}

/// An entry that is connected to more entries than a keeper's sum covers uses its own sum.
#[test]
fn a_sum_over_fewer_entries_is_not_used() {
    let pending = Load { pending: MINUTE_OF_WORK, ..CALM };
    let mut reports: Vec<_> =
        (0..5).map(|n| (far(&format!("keeper-{n}")), report(CALM, 5, CALM))).collect();
    reports[0].1.data_centre_load = Summary { entries: 2, load: pending };
    assert!(accepts(&reports));
}

#[test]
fn keepers_sum_the_loads_of_their_data_centre() {
    let now = Time(1_000_000);
    let mut entry = Entry::new(home("entry-0"), Options::default(), now);
    let mut out = Vec::new();
    entry.handle(now, Event::Executors(vec![executor()]), &mut out);
    for (peer, pending) in [(home("small-1"), 3), (home("small-2"), 5), (far("keeper-1"), 100)] {
        entry.handle(now, Event::PeerUp { peer }, &mut out);
        let load = Load { pending, ..Load::default() };
        let message = Message::Report(Report { load, ..Report::default() });
        entry.handle(now, Event::Message { from: peer, message }, &mut out);
    }
    out.clear();
    for step in 1..=100 {
        entry.handle(now + Span::from_millis(20 * step), Event::Tick, &mut out);
    }
    let sum = out.iter().find_map(|action| match action {
        Action::Send { message: Message::Report(report), .. } => Some(report.data_centre_load),
        _ => None,
    });
    let sum = sum.expect("a report");
    assert_eq!((sum.entries, sum.load.pending), (3, 8));
}
