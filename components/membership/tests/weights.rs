//! Endpoints that are shared out by weight.

use membership::rendezvous;
use proptest::prelude::*;
use site::{
    id::{DataCentreId, EndpointId, EntryId, Home, Incarnation},
    unit::Weight,
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
fn each_home_has_its_part() {
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
        // Three standard deviations of a share drawn at random are 95 endpoints.
        assert!(part.abs_diff(expected) < 95, "{parts:?}");
    }
}

#[test]
fn nobody_keeps_anything_without_weight() {
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
    fn equal_weights_are_like_none(count in 1..12usize, weight in 1..1_000u32) {
        let homes = weigh(&vec![weight; count]);
        let plain: Vec<_> = homes.iter().map(|(home, _)| *home).collect();
        for endpoint in endpoints().take(300) {
            let weighted = rendezvous::weighted_keeper(&homes, endpoint);
            prop_assert_eq!(weighted, rendezvous::keeper(&plain, endpoint));
        }
    }
}
