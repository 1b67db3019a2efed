//! Connections between entries in small and large sites.

use membership::mesh::{MAX_FULL_MESH_ENTRIES, REMOTE_PEERS, peers, weighted_peers};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation},
    unit::Weight,
};
use std::collections::BTreeMap;

/// Returns the entries of data centres of these sizes.
fn site(sizes: &[usize]) -> Vec<Home> {
    let home = |data_centre: usize, number: usize| Home {
        data_centre: DataCentreId(data_centre as u64),
        entry: EntryId::of(&format!("entry-{data_centre}-{number}")),
        incarnation: Incarnation(1),
    };
    let sizes = sizes.iter().enumerate();
    sizes.flat_map(|(place, count)| (0..*count).map(move |number| home(place, number))).collect()
}

#[test]
fn entries_of_a_small_site_are_all_connected() {
    let homes = site(&[20, 20, 8]);
    assert_eq!(homes.len(), MAX_FULL_MESH_ENTRIES);
    for me in &homes {
        assert_eq!(peers(*me, &homes).len(), MAX_FULL_MESH_ENTRIES - 1);
    }
}

#[test]
fn connections_are_symmetric() {
    for sizes in [&[40, 40, 21][..], &[60, 2, 1], &[32; 9], &[5, 7, 90, 3]] {
        let homes = site(sizes);
        for me in &homes {
            for other in peers(*me, &homes) {
                assert!(peers(other, &homes).contains(me), "{sizes:?}: {me} and {other}");
            }
        }
    }
}

#[test]
fn each_entry_connects_to_its_data_centre_and_some_entries_of_each_other() {
    let homes = site(&[40, 37, 24, 3]);
    for me in &homes {
        let peers = peers(*me, &homes);
        for place in 0..4 {
            let place = DataCentreId(place);
            let there = |home: &&Home| home.data_centre == place;
            let linked = peers.iter().filter(there).count();
            let all = homes.iter().filter(there).count();
            match place == me.data_centre {
                true => assert_eq!(linked, all - 1),
                false => assert!(linked >= REMOTE_PEERS.min(all), "{me} has {linked} in {place}"),
            }
        }
    }
}

#[test]
fn the_connections_of_an_entry_do_not_grow_with_other_data_centres() {
    let homes = site(&[32; 9]);
    for me in &homes {
        assert_eq!(peers(*me, &homes).len(), 31 + 8 * REMOTE_PEERS);
    }
}

/// Returns weights that are nonzero for the first two entries of each data centre.
fn weighed(homes: &[Home]) -> Vec<(Home, Weight)> {
    let mut seen: BTreeMap<DataCentreId, u32> = BTreeMap::new();
    let weigh = |home: &Home| {
        let count = seen.entry(home.data_centre).or_default();
        *count += 1;
        (*home, Weight(u32::from(*count <= 2)))
    };
    homes.iter().map(weigh).collect()
}

#[test]
fn weighted_connections_are_symmetric() {
    for sizes in [&[40, 40, 21][..], &[60, 2, 1], &[32; 9], &[5, 7, 90, 3]] {
        let homes = weighed(&site(sizes));
        for (me, _) in &homes {
            for other in weighted_peers(*me, &homes) {
                let back = weighted_peers(other, &homes);
                assert!(back.contains(me), "{sizes:?}: {me} and {other}");
            }
        }
    }
}

#[test]
fn each_entry_reaches_entries_with_weight_in_each_data_centre() {
    let homes = weighed(&site(&[40, 37, 24, 3]));
    for (me, _) in &homes {
        let peers = weighted_peers(*me, &homes);
        for place in (0..4).map(DataCentreId).filter(|place| *place != me.data_centre) {
            let there = |home: &Home| home.data_centre == place;
            let keepers = homes.iter().filter(|(home, weight)| there(home) && weight.0 > 0);
            let linked = keepers.filter(|(home, _)| peers.contains(home)).count();
            assert!(linked >= REMOTE_PEERS, "{me} has {linked} in {place}");
        }
    }
}

/// Large sites have few entries of nonzero weight; the others exchange no messages with each other.
#[test]
fn entries_without_weight_are_connected_to_those_with_weight_only() {
    for sizes in [[40; 5], [80; 5]] {
        let homes = weighed(&site(&sizes));
        let with_weight = |home: &Home| homes.iter().any(|(h, weight)| h == home && weight.0 > 0);
        for (me, _) in homes.iter().filter(|(home, _)| !with_weight(home)) {
            let peers = weighted_peers(*me, &homes);
            assert!(peers.iter().all(with_weight));
            let local = peers.iter().filter(|home| home.data_centre == me.data_centre).count();
            assert_eq!((local, peers.len()), (2, 2 + 4 * REMOTE_PEERS), "at {sizes:?}");
        }
    }
}

/// Each new connection costs a handshake at both ends, and all entries learn of a change at the
/// same time.
#[test]
fn removing_an_entry_with_weight_changes_few_connections() {
    let homes = site(&[40; 5]);
    let weigh = |homes: &[Home]| {
        let weight = |home: &Home| Weight(u32::from(home.entry.0.is_multiple_of(8)));
        homes.iter().map(|home| (*home, weight(home))).collect::<Vec<_>>()
    };
    let before = weigh(&homes);
    let gone = before.iter().find(|(_, weight)| weight.0 > 0).map(|(home, _)| *home);
    let gone = gone.expect("some have weight");
    let left: Vec<Home> = homes.iter().copied().filter(|home| *home != gone).collect();
    let after = weigh(&left);
    let mut new = 0;
    for me in &left {
        let old = weighted_peers(*me, &before);
        new += weighted_peers(*me, &after).iter().filter(|home| !old.contains(home)).count();
    }
    let lost = weighted_peers(gone, &before).len();
    // Each connection is counted at both ends.
    assert!(new <= 2 * lost, "{new} for {lost} that were lost");
}
