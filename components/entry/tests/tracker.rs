//! Revisions that an entry accepts and requests, and the election of watchers.

use entry::tracker::{MAX_WATCHERS, PEER_LIVENESS_TIMEOUT, REQUEST_RETRY_INTERVAL, Tracker};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation},
    unit::{Revision, Time},
};

const NOW: Time = Time(10_000_000);

fn home(data_centre: u64, entry: u64) -> Home {
    Home {
        data_centre: DataCentreId(data_centre),
        entry: EntryId(entry),
        incarnation: Incarnation(1),
    }
}

/// Returns the trackers of a data centre's entries, each with a fresh heartbeat of all others.
fn trackers(count: u64) -> Vec<Tracker> {
    let homes: Vec<Home> = (1..=count).map(|entry| home(1, entry)).collect();
    let tracker = |me: &Home| {
        let mut tracker = Tracker::new(*me, Revision(5));
        for peer in homes.iter().filter(|peer| *peer != me) {
            assert!(!tracker.handle_heartbeat(NOW, *peer, Revision(5), false));
        }
        tracker
    };
    homes.iter().map(tracker).collect()
}

#[test]
fn a_revision_never_goes_back() {
    let mut tracker = Tracker::new(home(1, 1), Revision(5));
    for (offered, taken) in [(5, false), (4, false), (7, true), (6, false), (7, false), (8, true)] {
        assert_eq!(tracker.accept(Revision(offered)), taken, "{offered}");
    }
    assert_eq!(tracker.revision(), Revision(8));
}

#[test]
fn at_most_two_entries_of_a_data_centre_watch() {
    for count in 1..=12 {
        let all = trackers(count);
        let watching = all.iter().filter(|tracker| tracker.is_watcher(NOW)).count();
        assert_eq!(watching, MAX_WATCHERS.min(count as usize), "{count} entries");
        let relays: Vec<_> = all.iter().flat_map(|tracker| tracker.relay_targets(NOW)).collect();
        assert_eq!(relays.len(), count as usize - watching, "{count} entries");
    }
}

#[test]
fn unresponsive_or_draining_watchers_are_replaced() {
    let mut tracker = Tracker::new(home(1, 1), Revision(5));
    for entry in 2..=9 {
        tracker.handle_heartbeat(NOW, home(1, entry), Revision(5), false);
    }
    let first = tracker.watchers(NOW);
    let mut later = first.iter().filter(|watcher| **watcher != home(1, 1));
    let gone = *later.next().unwrap();
    tracker.handle_heartbeat(NOW, gone, Revision(5), true);
    assert!(!tracker.watchers(NOW).contains(&gone));
    let silent = NOW + PEER_LIVENESS_TIMEOUT;
    assert_eq!(tracker.watchers(silent), [home(1, 1)]);
}

#[test]
fn entries_of_other_data_centres_do_not_watch_for_this_one() {
    let mut tracker = Tracker::new(home(1, 1), Revision(5));
    for entry in 2..=9 {
        tracker.handle_heartbeat(NOW, home(2, entry), Revision(5), false);
    }
    assert_eq!(tracker.watchers(NOW), [home(1, 1)]);
}

#[test]
fn a_newer_revision_is_requested_once_per_retry_interval() {
    let mut tracker = Tracker::new(home(1, 1), Revision(5));
    let (one, other) = (home(1, 2), home(2, 3));
    assert!(tracker.handle_heartbeat(NOW, one, Revision(6), false));
    assert!(!tracker.handle_heartbeat(NOW, other, Revision(6), false));
    assert!(tracker.handle_heartbeat(NOW, other, Revision(7), false));
    assert!(tracker.handle_heartbeat(NOW + REQUEST_RETRY_INTERVAL, other, Revision(7), false));
    tracker.reject(Revision(7));
    assert!(!tracker.handle_heartbeat(
        NOW + REQUEST_RETRY_INTERVAL + REQUEST_RETRY_INTERVAL,
        other,
        Revision(7),
        false
    ));
    assert!(tracker.handle_heartbeat(
        NOW + REQUEST_RETRY_INTERVAL + REQUEST_RETRY_INTERVAL,
        other,
        Revision(8),
        false
    ));
}
