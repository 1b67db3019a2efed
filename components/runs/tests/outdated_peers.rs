//! Which entries send a configuration to peers that the store has not notified.

mod common;

use common::fixture::{home, sign};
use runs::{Entry, Event, Message, Options, message::Report};
use site::{
    id::Home,
    unit::{Span, Time},
};

const NEW_VERSION: u64 = 8;
const SITE_ENTRIES: usize = 45;

fn homes() -> Vec<Home> {
    (0..SITE_ENTRIES).map(|number| home(&format!("entry-{number}"))).collect()
}

/// Delivers a report with the configuration version that a peer knows.
fn report(entry: &mut Entry, now: Time, from: Home, configuration: u64) {
    let report = Report { sign: sign(now), configuration, ..Report::default() };
    let message = Message::Report(report);
    entry.handle(now, Event::Message { from, message }, &mut Vec::new());
}

/// The up-to-date entries of a connected site. The entries after the first `up_to_date` have an
/// older configuration.
fn site(up_to_date: usize) -> Vec<Entry> {
    let homes = homes();
    let entry = |me: &Home| {
        let mut entry = Entry::new(*me, Options::default(), Time(0));
        for (number, peer) in homes.iter().enumerate().filter(|(_, peer)| *peer != me) {
            entry.handle(Time(0), Event::PeerUp { peer: *peer }, &mut Vec::new());
            let known = if number < up_to_date { NEW_VERSION } else { NEW_VERSION - 1 };
            report(&mut entry, Time(0), *peer, known);
        }
        entry
    };
    homes.iter().take(up_to_date).map(entry).collect()
}

fn outdated_peers(entries: &mut [Entry], ms: u64) -> Vec<Home> {
    let now = Time(ms * 1_000);
    entries.iter_mut().flat_map(|entry| entry.take_outdated_peers(now, NEW_VERSION)).collect()
}

/// When all but one entry read a configuration from the store at the same time, that one does not
/// send it to the others while their reports of it are in transit.
#[test]
fn peers_that_the_store_notifies_are_not_sent_the_configuration() {
    let mut entries = site(1);
    assert!(outdated_peers(&mut entries, 0).is_empty());
    assert!(outdated_peers(&mut entries, 300).is_empty());
    for peer in homes().into_iter().skip(1) {
        report(&mut entries[0], Time(350_000), peer, NEW_VERSION);
    }
    assert!(outdated_peers(&mut entries, 900).is_empty());
}

#[test]
fn the_number_of_senders_grows_while_a_peer_stays_outdated() {
    let mut entries = site(SITE_ENTRIES - 1);
    let counts: Vec<_> = [0, 300, 600, 900, 1_200, 1_500, 1_800]
        .map(|ms| outdated_peers(&mut entries, ms).len())
        .into();
    assert_eq!(counts[..2], [0, 0]);
    assert!((1..=4).contains(&counts[2]), "{counts:?}");
    assert!(counts.is_sorted(), "{counts:?}");
    // All of them, long before the configuration has to be in force.
    assert_eq!(counts[5], SITE_ENTRIES - 1, "{counts:?}");
}

/// A peer that was up to date and is outdated again gets the same time.
#[test]
fn the_time_starts_again_when_a_peer_is_outdated_again() {
    let mut entries = site(SITE_ENTRIES - 1);
    let last = homes()[SITE_ENTRIES - 1];
    outdated_peers(&mut entries, 0);
    for entry in &mut entries {
        report(entry, Time(500_000), last, NEW_VERSION);
    }
    assert!(outdated_peers(&mut entries, 600).is_empty());
    for entry in &mut entries {
        report(entry, Time(700_000), last, NEW_VERSION - 1);
    }
    assert!(outdated_peers(&mut entries, 900).is_empty());
    let now = Time(0) + Span::from_millis(1_500);
    assert!(!outdated_peers(&mut entries, now.0 / 1_000).is_empty());
}
