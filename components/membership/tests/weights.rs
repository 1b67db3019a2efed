//! Division of endpoints among entries by weight.

use membership::{keepers, rendezvous};
use proptest::prelude::*;
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation},
    unit::{Cores, Weight},
};

const ENDPOINTS: usize = 4_000;

fn home(number: u64) -> Home {
    Home { data_centre: DataCentreId(1), entry: EntryId(number), incarnation: Incarnation(0) }
}

fn endpoints() -> impl Iterator<Item = EndpointId> {
    (0..ENDPOINTS).map(|number| EndpointId::of(&format!("executor-{number}")))
}

fn weigh(weights: &[u32]) -> Vec<(Home, Weight)> {
    weights.iter().enumerate().map(|(n, weight)| (home(n as u64), Weight(*weight))).collect()
}

#[test]
fn each_home_keeps_endpoints_in_proportion_to_its_weight() {
    let weights = [380, 380, 40, 0];
    let homes = weigh(&weights);
    let mut parts = [0_usize; 4];
    for endpoint in endpoints() {
        let keeper = rendezvous::weighted_keeper(&homes, endpoint).expect("a keeper");
        parts[keeper.entry.0 as usize] += 1;
    }
    assert_eq!(parts[3], 0, "{parts:?}");
    for (part, weight) in parts.into_iter().zip(weights) {
        let expected = ENDPOINTS * weight as usize / 800;
        // Three standard deviations of a random share are 95 endpoints.
        assert!(part.abs_diff(expected) < 95, "{parts:?}");
    }
}

#[test]
fn homes_of_zero_weight_keep_nothing() {
    assert_eq!(rendezvous::weighted_keeper(&weigh(&[0, 0]), EndpointId(1)), None);
    assert_eq!(rendezvous::weighted_keeper(&[], EndpointId(1)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    #[test]
    fn a_change_of_one_weight_moves_endpoints_from_or_to_that_home_only(
        weights in proptest::collection::vec(0..600u32, 1..6),
        changed in any::<usize>(),
        weight in 0..600u32,
    ) {
        let changed = changed % weights.len();
        let old = weigh(&weights);
        let mut new = old.clone();
        new[changed].1 = Weight(weight);
        for endpoint in endpoints().take(300) {
            let before = rendezvous::weighted_keeper(&old, endpoint);
            let after = rendezvous::weighted_keeper(&new, endpoint);
            let involved = [before, after].contains(&Some(old[changed].0));
            prop_assert!(before == after || involved, "{endpoint} goes from {before:?} to {after:?}");
        }
    }

    #[test]
    fn equal_weights_give_the_same_keeper_as_no_weights(count in 1..12usize, weight in 1..1_000u32) {
        let homes = weigh(&vec![weight; count]);
        let plain: Vec<_> = homes.iter().map(|(home, _)| *home).collect();
        for endpoint in endpoints().take(300) {
            let weighted = rendezvous::weighted_keeper(&homes, endpoint);
            prop_assert_eq!(weighted, rendezvous::keeper(&plain, endpoint));
        }
    }
}

fn weigh_by_processor(cores: &[u32]) -> Vec<u32> {
    let homes: Vec<_> =
        cores.iter().enumerate().map(|(n, cores)| (home(n as u64), Cores(*cores))).collect();
    let weighed = keepers::weights(&homes, Cores(120));
    weighed.into_iter().map(|(_, weight)| weight.0).collect()
}

#[test]
fn weights_follow_what_entries_have_beyond_the_reserve() {
    assert_eq!(weigh_by_processor(&[500, 120, 120]), [380, 0, 0]);
    assert_eq!(weigh_by_processor(&[250, 250]), [130, 130]);
}

#[test]
fn where_large_entries_are_too_few_weights_follow_the_whole_capacity() {
    let mut cores = vec![120; 20];
    cores.push(250);
    assert_eq!(weigh_by_processor(&cores), cores);
    assert_eq!(weigh_by_processor(&[100, 50]), [100, 50]);
}

#[test]
fn where_no_capacity_is_known_weights_are_equal() {
    assert_eq!(weigh_by_processor(&[0, 0, 0]), [1, 1, 1]);
}

#[test]
fn data_centres_are_weighted_independently() {
    let far = Home { data_centre: DataCentreId(2), ..home(9) };
    let homes = [(home(1), Cores(500)), (home(2), Cores(120)), (far, Cores(120))];
    let weights: Vec<_> =
        keepers::weights(&homes, Cores(120)).into_iter().map(|(_, weight)| weight.0).collect();
    assert_eq!(weights, [380, 0, 120]);
}
