//! Statuses in a view after messages, timeouts and lists from the platform.

use membership::{Options, Status, View, options::MAX_GONE, rendezvous};
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation},
    unit::{Span, Time},
};

const DC: DataCentreId = DataCentreId(1);
const REMOTE: DataCentreId = DataCentreId(2);
const START: Time = Time(1_000_000);

fn home(data_centre: DataCentreId, entry: u64, incarnation: u64) -> Home {
    Home { data_centre, entry: EntryId(entry), incarnation: Incarnation(incarnation) }
}

fn own() -> Home {
    home(DC, 1, 1)
}

fn view() -> View {
    let mut view = View::new(own(), Options::default());
    view.tick(START);
    view
}

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

/// Ticks every 100 ms from `from` to `to` while messages of `peers` arrive. Returns the number of
/// changes.
fn run(view: &mut View, from: u64, to: u64, peers: &[Home]) -> usize {
    (from..=to)
        .step_by(100)
        .map(|ms| {
            let contact_changes =
                peers.iter().filter(|peer| view.record_contact(at(ms), **peer, false)).count();
            contact_changes + usize::from(view.tick(at(ms)))
        })
        .sum()
}

#[test]
fn own_entry_is_live_until_it_drains() {
    let mut view = view();
    assert_eq!(view.live(DC), [own()]);
    assert!(view.record_contact(at(0), own(), true));
    assert_eq!(view.status(at(0), own()), Status::Draining);
    assert!(view.live(DC).is_empty());
}

#[test]
fn a_timeout_makes_a_peer_unreachable_and_a_message_live_again() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    assert!(view.record_contact(at(0), peer, false));
    assert!(!view.record_contact(at(100), peer, false));
    assert_eq!(view.live(DC), [own(), peer]);
    assert_eq!(run(&mut view, 200, 1_500, &[]), 0);
    assert_eq!(run(&mut view, 1_600, 1_600, &[]), 1);
    assert_eq!(view.status(at(1_600), peer), Status::Unreachable);
    assert!(view.record_contact(at(1_700), peer, false));
    assert_eq!(view.status(at(1_700), peer), Status::Live);
}

#[test]
fn draining_is_never_unset() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    view.record_contact(at(0), peer, false);
    assert!(view.record_contact(at(10), peer, true));
    assert!(!view.record_contact(at(20), peer, false));
    assert_eq!(view.status(at(20), peer), Status::Draining);
    assert_eq!(view.live(DC), [own()]);
}

#[test]
fn a_lost_connection_alone_changes_nothing() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    view.connected(at(0), peer);
    for ms in (100..10_000).step_by(100) {
        assert!(!view.disconnected(at(ms), peer));
        assert!(!view.connected(at(ms + 50), peer));
    }
    assert_eq!(view.status(at(10_000), peer), Status::Live);
}

#[test]
fn a_flapping_peer_is_held_down() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    let changes: usize = (0..20)
        .map(|round| {
            let from = round * 2_000;
            let contact_changes = run(&mut view, from, from + 100, &[peer]);
            contact_changes + run(&mut view, from + 200, from + 1_900, &[])
        })
        .sum();
    assert!(changes <= 4, "{changes} changes in 20 rounds");
    run(&mut view, 40_000, 40_100, &[peer]);
    assert_eq!(view.status(at(40_100), peer), Status::Live);
    assert_eq!(view.live(DC), [own()]);
    run(&mut view, 40_200, 75_000, &[peer]);
    assert_eq!(view.live(DC), [own(), peer]);
}

#[test]
fn absence_from_the_registry_changes_no_status() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    view.registered(at(0), &[peer]);
    assert_eq!(view.status(at(0), peer), Status::Unreachable);
    view.record_contact(at(10), peer, false);
    assert!(!view.registered(at(20), &[]));
    assert_eq!(view.status(at(20), peer), Status::Live);
}

#[test]
fn a_registered_process_without_messages_does_not_make_another_gone() {
    let (mut view, old, new) = (view(), home(DC, 2, 1), home(DC, 2, 2));
    view.record_contact(at(0), old, false);
    view.registered(at(10), &[new]);
    run(&mut view, 100, 10_000, &[]);
    assert_eq!(view.status(at(10_000), old), Status::Unreachable);
}

#[test]
fn an_unresponsive_process_is_gone_after_a_message_of_another_process_of_its_entry() {
    let (mut view, old, new) = (view(), home(DC, 2, 1), home(DC, 2, 2));
    view.record_contact(at(0), old, false);
    run(&mut view, 100, 2_000, &[]);
    view.record_contact(at(2_100), new, false);
    assert_eq!(view.status(at(2_100), old), Status::Gone);
    assert_eq!(view.status(at(2_100), new), Status::Live);
    assert!(!view.record_contact(at(2_200), old, false));
    assert_eq!(view.status(at(2_200), old), Status::Gone);
    assert!(view.peers().any(|peer| peer == (old, Status::Gone)));
}

#[test]
fn after_a_quick_restart_the_old_process_is_gone_once_unresponsive_and_disconnected() {
    let (mut view, old, new) = (view(), home(DC, 2, 1), home(DC, 2, 2));
    view.connected(at(0), old);
    run(&mut view, 100, 1_700, &[new]);
    assert_eq!(view.status(at(1_700), old), Status::Unreachable);
    view.disconnected(at(1_800), old);
    run(&mut view, 1_800, 1_900, &[new]);
    assert_eq!(view.status(at(1_900), old), Status::Gone);
}

#[test]
fn two_processes_of_one_entry_that_both_send_messages_are_both_live() {
    let (mut view, one, other) = (view(), home(DC, 2, 1), home(DC, 2, 2));
    run(&mut view, 0, 10_000, &[one, other]);
    assert_eq!(view.live(DC), [own(), one, other]);
}

#[test]
fn messages_of_a_draining_process_do_not_make_its_successor_gone() {
    let (mut view, old, new) = (view(), home(DC, 2, 1), home(DC, 2, 2));
    view.record_contact(at(0), new, false);
    for ms in (100..5_000).step_by(100) {
        view.record_contact(at(ms), old, true);
        view.tick(at(ms));
    }
    assert_eq!(view.status(at(5_000), new), Status::Unreachable);
}

#[test]
fn unknown_homes_are_unreachable_unless_replaced() {
    let mut view = view();
    let unknown = home(DC, 2, 7);
    assert_eq!(view.query(at(0), unknown), Status::Unreachable);
    assert_eq!(view.query(at(0), home(DC, 1, 7)), Status::Unreachable);
    run(&mut view, 0, 2_000, &[home(DC, 2, 8)]);
    assert_eq!(view.status(at(2_000), unknown), Status::Gone);
    assert_eq!(view.status(at(2_000), home(DC, 1, 7)), Status::Gone);
    view.registered(at(2_000), &[unknown]);
    assert_eq!(view.status(at(2_000), unknown), Status::Unreachable);
}

/// The unknown home may be the newer process: the other one may have stopped a moment ago.
#[test]
fn an_unknown_home_is_not_gone_until_the_other_process_outlives_the_query() {
    let mut view = view();
    let (old, unknown) = (home(DC, 2, 8), home(DC, 2, 7));
    run(&mut view, 0, 10_000, &[old]);
    assert_eq!(view.query(at(10_000), unknown), Status::Unreachable);
    run(&mut view, 10_000, 11_400, &[old]);
    assert_eq!(view.query(at(11_400), unknown), Status::Unreachable);
    run(&mut view, 11_400, 12_000, &[old]);
    assert_eq!(view.query(at(12_000), unknown), Status::Gone);
}

/// The registration of a process may stay listed long after its end.
#[test]
fn a_registered_predecessor_of_the_own_entry_is_gone_after_the_timeout() {
    let mut view = view();
    let predecessor = home(DC, 1, 7);
    view.registered(at(0), &[predecessor, own()]);
    assert_eq!(view.status(at(0), predecessor), Status::Unreachable);
    let due = view.next_timer();
    assert!(due <= at(1_500), "{due}");
    (0..=1_500).step_by(100).for_each(|ms| {
        view.tick(at(ms));
    });
    assert_eq!(view.status(at(1_500), predecessor), Status::Gone);
}

#[test]
fn a_missing_vm_makes_only_an_unresponsive_entry_gone() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    run(&mut view, 0, 100, &[peer]);
    view.vms_missing(&[peer.entry, EntryId(9)]);
    assert_eq!(view.status(at(100), peer), Status::Live);
    assert_eq!(view.status(at(100), home(DC, 9, 1)), Status::Gone);
    run(&mut view, 200, 1_700, &[]);
    assert_eq!(view.status(at(1_700), peer), Status::Gone);
}

#[test]
fn a_pause_of_the_own_process_makes_no_peer_unreachable() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    run(&mut view, 0, 1_000, &[peer]);
    assert_eq!(view.status(at(60_000), peer), Status::Live);
    assert!(!view.tick(at(60_000)));
    assert_eq!(view.status(at(61_000), peer), Status::Live);
    run(&mut view, 60_100, 61_600, &[]);
    assert_eq!(view.status(at(61_600), peer), Status::Unreachable);
}

#[test]
fn heartbeats_go_to_all_local_peers_and_few_remote_ones() {
    let mut view = view();
    let local: Vec<_> = (2..=6).map(|entry| home(DC, entry, 1)).collect();
    let remote: Vec<_> = (11..=16).map(|entry| home(REMOTE, entry, 1)).collect();
    view.registered(at(0), &[local.clone(), remote].concat());
    let due = view.due_heartbeats(at(0));
    assert!(local.iter().all(|peer| due.contains(peer)));
    let remote_links = due.len() - local.len();
    assert!((1..=2).contains(&remote_links), "{remote_links} links");
    assert!(view.due_heartbeats(at(499)).is_empty());
    assert_eq!(view.next_timer(), at(500));
    assert_eq!(view.due_heartbeats(at(500)), due);
}

#[test]
fn remote_entries_without_heartbeats_are_presumed_live_while_their_data_centre_is_alive() {
    let mut view = view();
    let local: Vec<_> = (2..=6).map(|entry| home(DC, entry, 1)).collect();
    let remote: Vec<_> = (11..=16).map(|entry| home(REMOTE, entry, 1)).collect();
    view.registered(at(0), &[local.clone(), remote.clone()].concat());
    let due = view.due_heartbeats(at(0));
    let (linked, unlinked): (Vec<_>, Vec<_>) =
        remote.iter().copied().partition(|h| due.contains(h));
    assert!(view.live(REMOTE).is_empty());
    run(&mut view, 0, 1_000, &linked);
    assert_eq!(view.live(REMOTE), remote);
    view.disconnected(at(1_000), unlinked[0]);
    assert_eq!(view.status(at(1_000), unlinked[0]), Status::Unreachable);
    run(&mut view, 1_100, 2_600, &[]);
    assert!(view.live(REMOTE).is_empty());
}

#[test]
fn gone_homes_are_bounded() {
    let mut view = view();
    let batch = MAX_GONE as u64 / 20;
    for round in 0..21 {
        let first = 2 + round * batch;
        let entries = first..first + batch;
        let from = round * 10_000;
        entries.clone().for_each(|entry| {
            view.record_contact(at(from), home(DC, entry, 1), false);
        });
        view.vms_missing(&entries.map(EntryId).collect::<Vec<_>>());
        run(&mut view, from + 100, from + 1_600, &[]);
        assert_eq!(view.live(DC), [own()]);
    }
    assert_eq!(view.peers().count(), MAX_GONE);
}

#[test]
fn unresponsive_homes_are_removed_and_stay_unreachable() {
    let (mut view, peer) = (view(), home(DC, 2, 1));
    view.record_contact(at(0), peer, false);
    run(&mut view, 100, 700_000, &[]);
    view.registered(at(700_000), &[]);
    assert_eq!(view.peers().count(), 0);
    assert_eq!(view.status(at(700_000), peer), Status::Unreachable);
}

#[test]
fn each_home_is_in_a_heartbeat_pair() {
    for (ours, theirs) in [(1, 5), (2, 3), (6, 6), (7, 6), (30, 50)] {
        let ours: Vec<_> = (0..ours).map(|entry| home(DC, entry, 1)).collect();
        let theirs: Vec<_> = (0..theirs).map(|entry| home(REMOTE, entry, 1)).collect();
        let pairs = rendezvous::heartbeat_pairs(&ours, &theirs);
        assert!(ours.iter().all(|a| pairs.iter().any(|pair| pair.0 == *a)));
        assert!(theirs.iter().all(|b| pairs.iter().any(|pair| pair.1 == *b)));
        let fair = 2 * ours.len().max(theirs.len()).div_ceil(ours.len()) + 1;
        assert!(ours.iter().all(|a| pairs.iter().filter(|pair| pair.0 == *a).count() <= fair));
    }
}

#[test]
fn without_homes_there_is_no_keeper() {
    assert_eq!(View::keeper_among(&[], EndpointId(1)), None);
    assert_eq!(view().keeper(EndpointId(1), DC), Some(own()));
    assert_eq!(view().keeper(EndpointId(1), REMOTE), None);
}
