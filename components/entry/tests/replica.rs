//! Replication of settings between entries.

use bytes::Bytes;
use dispatch::{Message, message::Settings};
use entry::{
    folder::Folder,
    parts::{MAX_PART_BYTES, split},
    replica::{Received, Replica, SNAPSHOT_RESEND_INTERVAL},
    tracker::REQUEST_RETRY_INTERVAL,
};
use settings::Files;
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation},
    unit::{Revision, Time},
};
use wire::{Frame, Limit};

const NOW: Time = Time(10_000_000);

fn home(entry: u64) -> Home {
    Home { data_centre: DataCentreId(1), entry: EntryId(entry), incarnation: Incarnation(1) }
}

/// Returns the files of a revision. Each revision changes one file and adds another; every third
/// added file is removed by the next revision.
fn files(revision: u64) -> Files {
    let kept = (1..=revision).filter(|number| number % 3 != 0 || *number == revision);
    let name = |number: u64| format!("{number:04}.json").into();
    let mut files: Files = kept.map(|number| (name(number), Bytes::from("{}"))).collect();
    files.insert("all.json".into(), Bytes::from(revision.to_string()));
    files
}

/// Creates the replica of an entry that has held these revisions in turn.
fn holder(entry: u64, revisions: impl IntoIterator<Item = u64>) -> Replica {
    let mut replica = Replica::new(home(entry), Revision(0), Files::new());
    for revision in revisions {
        assert!(replica.install(Revision(revision), files(revision)));
    }
    replica
}

fn heartbeat(replica: &mut Replica, now: Time, from: u64, revision: u64) -> Option<u64> {
    match replica.handle_heartbeat(now, home(from), Revision(revision), false)? {
        Message::SettingsWanted { have } => Some(have.0),
        other => panic!("{other:?}"),
    }
}

fn assert_holds(replica: &Replica, revision: u64) {
    assert_eq!(replica.folder().revision(), Revision(revision));
    assert_eq!(replica.folder().files(), &files(revision));
}

/// Passes the parts that `from` sends for a request with `have` to `to`, as sent by entry 1.
fn sync(from: &mut Replica, to: &mut Replica, have: u64) -> Vec<Settings> {
    let parts = from.handle_request(NOW, home(2), Revision(have));
    for part in &parts {
        let expected = if part.last { Received::Updated } else { Received::Incomplete };
        assert_eq!(to.handle_part(NOW, home(1), part.clone()), expected);
    }
    parts
}

#[test]
fn a_known_base_gets_a_delta() {
    let mut from = holder(1, 1..=9);
    let mut to = holder(2, 1..=6);
    let parts = sync(&mut from, &mut to, 6);
    let [part] = &parts[..] else { panic!("{parts:?}") };
    assert_eq!(part.base, Revision(6));
    let sent: Vec<&str> = part.files.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(sent, ["0007.json", "0008.json", "0009.json", "all.json"]);
    assert_eq!(part.removed, ["0006.json"]);
    assert_holds(&to, 9);
}

#[test]
fn an_unknown_base_gets_a_snapshot() {
    for have in [0, 3, 4] {
        let mut from = holder(1, [2, 5, 9]);
        let mut to = holder(2, (have > 0).then_some(have));
        let parts = sync(&mut from, &mut to, have);
        assert!(parts.iter().all(|part| part.base == Revision(0)));
        assert_holds(&to, 9);
    }
}

#[test]
fn every_base_leads_to_the_same_folder() {
    for have in 0..100 {
        let mut from = holder(1, 1..=100);
        let mut to = holder(2, 1..=have);
        sync(&mut from, &mut to, have);
        assert_holds(&to, 100);
    }
}

#[test]
fn a_delta_with_another_base_triggers_a_request() {
    let mut from = holder(1, 1..=9);
    let mut to = holder(2, 1..=6);
    let late = from.handle_request(NOW, home(2), Revision(8)).remove(0);
    let request = Received::Request(Message::SettingsWanted { have: Revision(6) });
    assert_eq!(to.handle_part(NOW, home(1), late.clone()), request);
    // The response is in transit, so no other request is sent.
    assert_eq!(to.handle_part(NOW, home(1), late), Received::Ignored);
    assert_holds(&to, 6);
    sync(&mut from, &mut to, 6);
    assert_holds(&to, 9);
}

#[test]
fn late_and_repeated_deltas_change_nothing() {
    let mut from = holder(1, 1..=7);
    let mut to = holder(2, 1..=6);
    let early = sync(&mut from, &mut to, 6).remove(0);
    assert!(from.install(Revision(8), files(8)));
    sync(&mut from, &mut to, 7);
    assert_eq!(to.handle_part(NOW, home(1), early), Received::Ignored);
    let mut old = holder(3, 1..=7);
    for part in old.handle_request(NOW, home(2), Revision(0)) {
        assert_eq!(to.handle_part(NOW, home(3), part), Received::Ignored);
    }
    assert_holds(&to, 8);
}

#[test]
fn a_lost_delta_is_requested_again_after_a_heartbeat() {
    let mut from = holder(1, 1..=7);
    let mut to = holder(2, 1..=6);
    assert_eq!(heartbeat(&mut to, NOW, 1, 7), Some(6));
    drop(from.handle_request(NOW, home(2), Revision(6)));
    assert_eq!(heartbeat(&mut to, NOW, 1, 7), None);
    assert_eq!(heartbeat(&mut to, NOW + REQUEST_RETRY_INTERVAL, 1, 7), Some(6));
    sync(&mut from, &mut to, 6);
    assert_holds(&to, 7);
}

#[test]
fn a_new_entry_adopts_the_highest_revision_of_its_peers() {
    let (mut low, mut high) = (holder(1, 1..=5), holder(1, 1..=7));
    let mut fresh = Replica::new(home(2), Revision(0), Files::new());
    assert_eq!(heartbeat(&mut fresh, NOW, 3, 5), Some(0));
    assert_eq!(heartbeat(&mut fresh, NOW, 4, 7), Some(0));
    sync(&mut high, &mut fresh, 0);
    for part in low.handle_request(NOW, home(2), Revision(0)) {
        assert_eq!(fresh.handle_part(NOW, home(3), part), Received::Ignored);
    }
    assert_holds(&fresh, 7);
}

#[test]
fn a_change_is_relayed_once_and_only_to_peers_with_its_base() {
    let mut watcher = first_watcher();
    assert!(watcher.install(Revision(6), files(6)));
    let relays = watcher.relay_messages(NOW);
    // All except the two watchers and the entry that has no settings yet.
    assert!((6..=7).contains(&relays.len()), "{relays:?}");
    assert!(relays.iter().all(|(_, part)| part.base == Revision(5) && part.last));
    assert!(watcher.relay_messages(NOW).is_empty());
    assert!(watcher.install(Revision(7), files(7)));
    assert!(watcher.relay_messages(NOW).iter().all(|(_, part)| part.base == Revision(6)));
}

/// Returns the replica of the first watcher among the entries 1 to 9. It has received a heartbeat
/// of each; entry 9 has no settings.
fn first_watcher() -> Replica {
    let meet = |me: u64| {
        let mut replica = holder(me, 1..=5);
        for peer in (1..=9).filter(|peer| *peer != me) {
            let revision = if peer == 9 { 0 } else { 5 };
            assert_eq!(heartbeat(&mut replica, NOW, peer, revision), None);
        }
        let is_first = replica.tracker().watchers(NOW).first() == Some(&home(me));
        is_first.then_some(replica)
    };
    (1..=9).find_map(meet).expect("one is the first")
}

/// Returns files that need several parts.
fn large(revision: u64) -> Files {
    let file = |number: usize| {
        let text = vec![b' '; 1 + (number * 7_919 + revision as usize) % 100_000];
        (format!("{number:04}.json").into(), Bytes::from(text))
    };
    let mut files: Files = (0..60).map(file).collect();
    files.insert("large.json".into(), Bytes::from(vec![b' '; 1 << 20]));
    files
}

#[test]
fn a_large_folder_is_split_into_parts_that_fit_a_frame() {
    let mut folder = Folder::new(Revision(0), Files::new());
    folder.replace(Revision(4), large(4));
    let parts = split(folder.delta_since(Revision(0)).unwrap());
    assert!(parts.len() > 10);
    for (index, part) in parts.iter().enumerate() {
        let bytes: usize = part.files.iter().map(|(name, text)| name.len() + text.len()).sum();
        assert!(bytes <= MAX_PART_BYTES || part.files.len() == 1);
        let message = Message::Settings(part.clone());
        Frame::new(message).encode(Limit::default(), &mut Vec::new()).unwrap();
        assert_eq!((part.part, part.last), (index as u32, index + 1 == parts.len()));
    }
    let mut to = Replica::new(home(2), Revision(0), Files::new());
    for part in parts {
        to.handle_part(NOW, home(1), part);
    }
    assert_eq!(to.folder().files(), &large(4));
}

#[test]
fn parts_of_two_peers_do_not_mix() {
    let parts = |revision| {
        let mut folder = Folder::new(Revision(0), Files::new());
        folder.replace(Revision(revision), large(revision));
        split(folder.delta_since(Revision(0)).unwrap())
    };
    let (old, new) = (parts(4), parts(5));
    let mut to = Replica::new(home(2), Revision(0), Files::new());
    for index in 0..old.len().max(new.len()) {
        if let Some(part) = new.get(index) {
            to.handle_part(NOW, home(1), part.clone());
        }
        if let Some(part) = old.get(index) {
            assert_eq!(to.handle_part(NOW, home(3), part.clone()), Received::Ignored);
        }
    }
    assert_eq!(to.folder().revision(), Revision(5));
    assert_eq!(to.folder().files(), &large(5));
}

#[test]
fn parts_of_a_lost_connection_are_discarded() {
    let mut folder = Folder::new(Revision(0), Files::new());
    folder.replace(Revision(4), large(4));
    let parts = split(folder.delta_since(Revision(0)).unwrap());
    let mut to = Replica::new(home(2), Revision(0), Files::new());
    assert_eq!(to.handle_part(NOW, home(1), parts[0].clone()), Received::Incomplete);
    to.remove_peer(home(1));
    assert_eq!(to.handle_part(NOW, home(1), parts[1].clone()), Received::Ignored);
}

#[test]
fn a_snapshot_is_not_resent_while_it_may_be_in_transit() {
    let mut from = holder(1, 1..=9);
    let mut ask = |now, have| from.handle_request(now, home(2), Revision(have)).len();
    assert_eq!([ask(NOW, 0), ask(NOW, 0), ask(NOW, 9), ask(NOW, 8)], [1, 0, 0, 1]);
    assert_eq!(
        [ask(NOW + SNAPSHOT_RESEND_INTERVAL, 0), ask(NOW + SNAPSHOT_RESEND_INTERVAL, 0)],
        [1, 0]
    );
    from.remove_peer(home(2));
    assert_eq!(from.handle_request(NOW + SNAPSHOT_RESEND_INTERVAL, home(2), Revision(0)).len(), 1);
}

#[test]
fn unusable_settings_are_a_base_for_later_deltas() {
    let mut from = holder(1, 1..=8);
    let mut to = holder(2, 1..=7);
    to.reject(Revision(7));
    assert_eq!(heartbeat(&mut to, NOW, 1, 7), None);
    assert_eq!(heartbeat(&mut to, NOW, 1, 8), Some(7));
    assert_eq!(sync(&mut from, &mut to, 7)[0].base, Revision(7));
    assert_holds(&to, 8);
}
