//! The mesh of connections between entries.

use membership::mesh::{FAR_PARTNERS, FULL_MESH, partners, weighted_partners};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation},
    unit::Weight,
};
use std::collections::BTreeMap;

/// Entries of data centres of these sizes.
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
    assert_eq!(homes.len(), FULL_MESH);
    for me in &homes {
        assert_eq!(partners(*me, &homes).len(), FULL_MESH - 1);
    }
}

#[test]
fn both_ends_of_a_pair_know_it() {
    for sizes in [&[40, 40, 21][..], &[60, 2, 1], &[32; 9], &[5, 7, 90, 3]] {
        let homes = site(sizes);
        for me in &homes {
            for other in partners(*me, &homes) {
                assert!(partners(other, &homes).contains(me), "{sizes:?}: {me} and {other}");
            }
        }
    }
}

#[test]
fn each_entry_reaches_its_data_centre_and_some_of_each_other() {
    let homes = site(&[40, 37, 24, 3]);
    for me in &homes {
        let partners = partners(*me, &homes);
        for place in 0..4 {
            let place = DataCentreId(place);
            let there = |home: &&Home| home.data_centre == place;
            let linked = partners.iter().filter(there).count();
            let all = homes.iter().filter(there).count();
            match place == me.data_centre {
                true => assert_eq!(linked, all - 1),
                false => assert!(linked >= FAR_PARTNERS.min(all), "{me} has {linked} in {place}"),
            }
        }
    }
}

#[test]
fn the_connections_of_an_entry_do_not_grow_with_other_data_centres() {
    let homes = site(&[32; 9]);
    for me in &homes {
        assert_eq!(partners(*me, &homes).len(), 31 + 8 * FAR_PARTNERS);
    }
}

/// The first two entries of each data centre have weight.
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
fn both_ends_of_a_pair_know_it_where_few_entries_have_weight() {
    for sizes in [&[40, 40, 21][..], &[60, 2, 1], &[32; 9], &[5, 7, 90, 3]] {
        let homes = weighed(&site(sizes));
        for (me, _) in &homes {
            for other in weighted_partners(*me, &homes) {
                let back = weighted_partners(other, &homes);
                assert!(back.contains(me), "{sizes:?}: {me} and {other}");
            }
        }
    }
}

#[test]
fn each_entry_reaches_entries_with_weight_in_each_data_centre() {
    let homes = weighed(&site(&[40, 37, 24, 3]));
    for (me, _) in &homes {
        let partners = weighted_partners(*me, &homes);
        for place in (0..4).map(DataCentreId).filter(|place| *place != me.data_centre) {
            let there = |home: &Home| home.data_centre == place;
            let keepers = homes.iter().filter(|(home, weight)| there(home) && weight.0 > 0);
            let linked = keepers.filter(|(home, _)| partners.contains(home)).count();
            assert!(linked >= FAR_PARTNERS, "{me} has {linked} in {place}");
        }
    }
}

/// Large sites have few entries with weight; the others have nothing to tell each other.
#[test]
fn entries_without_weight_are_connected_to_those_with_weight_only() {
    for sizes in [[40; 5], [80; 5]] {
        let homes = weighed(&site(&sizes));
        let with_weight = |home: &Home| homes.iter().any(|(h, weight)| h == home && weight.0 > 0);
        for (me, _) in homes.iter().filter(|(home, _)| !with_weight(home)) {
            let partners = weighted_partners(*me, &homes);
            assert!(partners.iter().all(with_weight));
            let near = partners.iter().filter(|home| home.data_centre == me.data_centre).count();
            assert_eq!((near, partners.len()), (2, 2 + 4 * FAR_PARTNERS), "at {sizes:?}");
        }
    }
}

/// Each new connection is a handshake at both ends, and all entries hear of a change at the same moment.
#[test]
fn an_entry_with_weight_that_goes_changes_few_connections() {
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
        let old = weighted_partners(*me, &before);
        new += weighted_partners(*me, &after).iter().filter(|home| !old.contains(home)).count();
    }
    let had_it = weighted_partners(gone, &before).len();
    // Both ends of a connection count.
    assert!(new <= 2 * had_it, "{new} for {had_it} that are lost");
}
