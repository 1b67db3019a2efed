//! Which keeper a job is sent to when several have room.

mod common;

use common::fixture::{home, job, sign};
use runs::{
    Action, Entry, Event, Message, Options,
    message::{Report, Room},
};
use site::{
    id::{Home, WaiterId},
    unit::Time,
};
use std::collections::BTreeSet;

/// The keeper that an entry without executors sends its first job to. Six keepers have room, each a
/// little more than the one before.
fn choice(me: Home, options: Options) -> Option<Home> {
    let now = Time(1_000_000);
    let mut entry = Entry::new(me, options, now);
    let mut out = Vec::new();
    for number in 0..6 {
        let peer = home(&format!("keeper-{number}"));
        entry.handle(now, Event::PeerUp { peer }, &mut out);
        let room = Room { cores: vec![16_000 + number * 100], ahead: 0, speeds: Vec::new() };
        let report = Report { sign: sign(now), room, capacity: 16, ..Report::default() };
        entry.handle(
            now,
            Event::Message { from: peer, message: Message::Report(report) },
            &mut out,
        );
    }
    entry.handle(now, Event::Submit { waiter: WaiterId(1), job: job(now) }, &mut out);
    out.iter().find_map(|action| match action {
        Action::Send { to, message: Message::Place(_) } => Some(*to),
        _ => None,
    })
}

/// Otherwise all entries would send their jobs to the same keeper until its next report.
#[test]
fn entries_with_equal_reports_choose_different_keepers() {
    let choices = |options| -> BTreeSet<Home> {
        let entries = (0..12).map(|number| home(&format!("entry-{number}")));
        entries.filter_map(|me| choice(me, options)).collect()
    };
    assert_eq!(choices(Options { spread: false, ..Options::default() }).len(), 1);
    let spread = choices(Options::default()).len();
    assert!(spread >= 4, "{spread} of 6 keepers");
}
