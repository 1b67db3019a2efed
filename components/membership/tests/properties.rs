//! Property tests over arbitrary homes and orders of events.

use membership::{Options, Status, View, rendezvous};
use proptest::prelude::*;
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation},
    unit::{Span, Time},
};
use std::collections::BTreeSet;

fn homes(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Home>> {
    let home = (0..3u64, 0..20u64, 0..3u64).prop_map(|(data_centre, entry, incarnation)| Home {
        data_centre: DataCentreId(data_centre),
        entry: EntryId(data_centre * 100 + entry),
        incarnation: Incarnation(incarnation),
    });
    proptest::collection::btree_set(home, count).prop_map(|set| set.into_iter().collect())
}

fn endpoints() -> impl Iterator<Item = EndpointId> {
    (0..200).map(|n| EndpointId::of(&format!("executor-{n}")))
}

/// An event that is passed to a view.
#[derive(Clone, Debug)]
enum Step {
    Contact(usize, bool),
    Connected(usize),
    Disconnected(usize),
    Registered(Vec<usize>),
    VmsMissing(Vec<usize>),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let several = || proptest::collection::vec(any::<usize>(), 0..6);
    prop_oneof![
        4 => (any::<usize>(), any::<bool>()).prop_map(|(peer, d)| Step::Contact(peer, d)),
        1 => any::<usize>().prop_map(Step::Connected),
        1 => any::<usize>().prop_map(Step::Disconnected),
        1 => several().prop_map(Step::Registered),
        1 => several().prop_map(Step::VmsMissing),
        4 => (0..2_500u64).prop_map(Step::Wait),
    ]
}

fn apply(view: &mut View, now: &mut Time, step: &Step, all: &[Home]) -> bool {
    let pick = |n: &usize| all[n % all.len()];
    match step {
        Step::Contact(peer, draining) => view.record_contact(*now, pick(peer), *draining),
        Step::Connected(peer) => view.connected(*now, pick(peer)),
        Step::Disconnected(peer) => view.disconnected(*now, pick(peer)),
        Step::Registered(peers) => {
            view.registered(*now, &peers.iter().map(pick).collect::<Vec<_>>())
        }
        Step::VmsMissing(peers) => {
            view.vms_missing(&peers.iter().map(|peer| pick(peer).entry).collect::<Vec<_>>())
        }
        Step::Wait(ms) => {
            *now = *now + Span::from_millis(*ms);
            view.tick(*now)
        }
    }
}

fn live(view: &View) -> BTreeSet<Home> {
    (0..3).flat_map(|dc| view.live(DataCentreId(dc)).to_vec()).collect()
}

proptest! {
    #[test]
    fn the_keeper_does_not_depend_on_the_order_of_homes(all in homes(1..30), seed in any::<u64>()) {
        let mut other = all.clone();
        let shift = seed as usize % all.len();
        other.rotate_left(shift);
        for endpoint in endpoints() {
            prop_assert_eq!(
                View::keeper_among(&all, endpoint),
                View::keeper_among(&other, endpoint)
            );
        }
    }

    #[test]
    fn entries_with_the_same_members_agree_on_keepers(all in homes(2..10)) {
        let all: Vec<_> = all.into_iter().map(|h| Home { data_centre: DataCentreId(0), ..h }).collect();
        let views: Vec<_> = all.iter().map(|own| {
            let mut view = View::new(*own, Options::default());
            all.iter().for_each(|peer| { view.record_contact(Time(1), *peer, false); });
            view
        }).collect();
        for endpoint in endpoints() {
            let keepers: BTreeSet<_> =
                views.iter().map(|view| view.keeper(endpoint, DataCentreId(0))).collect();
            prop_assert_eq!(keepers.len(), 1);
        }
    }

    #[test]
    fn removing_a_home_moves_only_its_endpoints(all in homes(2..30), removed in any::<usize>()) {
        let removed = all[removed % all.len()];
        let remaining: Vec<_> = all.iter().copied().filter(|home| *home != removed).collect();
        for endpoint in endpoints() {
            let before = View::keeper_among(&all, endpoint);
            let after = View::keeper_among(&remaining, endpoint);
            prop_assert!(before == Some(removed) || before == after);
        }
    }

    #[test]
    fn pairs_are_symmetric(all in homes(2..40)) {
        let (ours, theirs): (Vec<_>, Vec<_>) =
            all.into_iter().filter(|h| h.data_centre.0 < 2).partition(|h| h.data_centre.0 == 0);
        let forth: BTreeSet<_> = rendezvous::heartbeat_pairs(&ours, &theirs).into_iter().collect();
        let back: BTreeSet<_> =
            rendezvous::heartbeat_pairs(&theirs, &ours).into_iter().map(|(a, b)| (b, a)).collect();
        prop_assert_eq!(forth, back);
    }

    #[test]
    fn any_events_keep_the_invariants(
        all in homes(2..12),
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let own = all[0];
        let mut view = View::new(own, Options::default());
        let mut now = Time(1);
        let mut gone = BTreeSet::new();
        for step in &steps {
            let before = live(&view);
            let changed = apply(&mut view, &mut now, step, &all);
            let after = live(&view);
            prop_assert_eq!(changed, before != after);
            for home in &after {
                prop_assert_eq!(view.status(now, *home), Status::Live);
            }
            for (home, status) in view.peers() {
                if status == Status::Gone {
                    gone.insert(home);
                }
            }
            prop_assert!(gone.iter().all(|home| view.status(now, *home) == Status::Gone));
            view.tick(now);
            view.due_heartbeats(now);
            prop_assert!(view.next_timer() > now);
        }
    }
}
