//! Who tells peers of a configuration that the store has not told them.

mod common;

use common::fixture::home;
use runs::{Entry, Event, Message, Options, message::Report};
use site::{
    id::Home,
    unit::{Span, Time},
};

const NEW: u64 = 8;
const SITE: usize = 45;

fn homes() -> Vec<Home> {
    (0..SITE).map(|number| home(&format!("entry-{number}"))).collect()
}

/// Tells `entry` what its peer knows.
fn report(entry: &mut Entry, now: Time, from: Home, configuration: u64) {
    let report = Report { sent: now, configuration, ..Report::default() };
    let message = Message::Report(report);
    entry.handle(now, Event::Message { from, message }, &mut Vec::new());
}

/// The entries of a site, connected, of which those after the first `informed` know an older
/// configuration.
fn site(informed: usize) -> Vec<Entry> {
    let homes = homes();
    let entry = |me: &Home| {
        let mut entry = Entry::new(*me, Options::default(), Time(0));
        for (number, peer) in homes.iter().enumerate().filter(|(_, peer)| *peer != me) {
            entry.handle(Time(0), Event::PeerUp { peer: *peer }, &mut Vec::new());
            let known = if number < informed { NEW } else { NEW - 1 };
            report(&mut entry, Time(0), *peer, known);
        }
        entry
    };
    homes.iter().take(informed).map(entry).collect()
}

fn told(entries: &mut [Entry], ms: u64) -> Vec<Home> {
    let now = Time(ms * 1_000);
    entries.iter_mut().flat_map(|entry| entry.take_behind(now, NEW)).collect()
}

/// When all but one entry hear of a configuration at once, none sends it to the others while their word
/// of it is on its way.
#[test]
fn peers_that_the_store_tells_are_left_alone() {
    let mut entries = site(1);
    assert!(told(&mut entries, 0).is_empty());
    assert!(told(&mut entries, 300).is_empty());
    for peer in homes().into_iter().skip(1) {
        report(&mut entries[0], Time(350_000), peer, NEW);
    }
    assert!(told(&mut entries, 900).is_empty());
}

#[test]
fn few_entries_tell_a_peer_that_lags_and_more_if_that_does_not_help() {
    let mut entries = site(SITE - 1);
    let counts: Vec<_> =
        [0, 300, 600, 900, 1_200, 1_500, 1_800].map(|ms| told(&mut entries, ms).len()).into();
    assert_eq!(counts[..2], [0, 0]);
    assert!((1..=4).contains(&counts[2]), "{counts:?}");
    assert!(counts.is_sorted(), "{counts:?}");
    // All of them, long before the configuration has to be in force.
    assert_eq!(counts[5], SITE - 1, "{counts:?}");
}

/// A peer that catches up and lags again is given the same time.
#[test]
fn a_new_lag_begins_anew() {
    let mut entries = site(SITE - 1);
    let last = homes()[SITE - 1];
    told(&mut entries, 0);
    for entry in &mut entries {
        report(entry, Time(500_000), last, NEW);
    }
    assert!(told(&mut entries, 600).is_empty());
    for entry in &mut entries {
        report(entry, Time(700_000), last, NEW - 1);
    }
    assert!(told(&mut entries, 900).is_empty());
    let now = Time(0) + Span::from_millis(1_500);
    assert!(!told(&mut entries, now.0 / 1_000).is_empty());
}
