//! The mesh of connections between entries.

use membership::mesh::{FAR_PARTNERS, FULL_MESH, partners};
use site::id::{DataCentreId, EntryId, Home, Incarnation};

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
