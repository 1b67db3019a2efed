//! No endpoint is allocated beyond its capacity, and choices follow the documented preferences.

use placement::{Endpoint, Pool, RackCounts};
use proptest::prelude::*;
use site::{
    id::{EndpointId, RackId},
    unit::{Accelerators, Cores, Memory, Resources, Slots},
};
use std::collections::BTreeMap;

fn slots(count: u32) -> Resources {
    Resources { slots: Slots(count), ..Resources::default() }
}

fn worker(cores: u32, gib: u64, accelerators: u16) -> Resources {
    Resources {
        slots: Slots(0),
        cores: Cores(cores * 1_000),
        memory: Memory(gib << 30),
        accelerators: Accelerators(accelerators),
    }
}

fn endpoint(id: u64, capacity: Resources) -> Endpoint {
    Endpoint { id: EndpointId(id), rack: RackId(id / 8), remote: false, capacity }
}

fn pool_of(endpoints: impl IntoIterator<Item = Endpoint>) -> Pool {
    let mut pool = Pool::new(7);
    endpoints.into_iter().for_each(|endpoint| pool.insert(endpoint));
    pool
}

fn any_resources() -> impl Strategy<Value = Resources> {
    prop_oneof![
        (1_u32..9).prop_map(slots),
        (1_u32..65, 1_u64..257, 0_u16..3).prop_map(|(c, m, a)| worker(c, m, a)),
    ]
}

#[derive(Clone, Debug)]
enum Step {
    Insert(u64, Resources),
    Remove(u64),
    Open(u64, bool),
    Speed(u64, f32),
    Choose(Resources, u64),
    Release(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let id = 0_u64..12;
    prop_oneof![
        2 => (id.clone(), any_resources()).prop_map(|(id, r)| Step::Insert(id, r)),
        1 => id.clone().prop_map(Step::Remove),
        1 => (id.clone(), any::<bool>()).prop_map(|(id, open)| Step::Open(id, open)),
        1 => (id.clone(), 0.5_f32..10.0).prop_map(|(id, factor)| Step::Speed(id, factor)),
        8 => (any_resources(), id).prop_map(|(need, avoid)| Step::Choose(need, avoid)),
        4 => any::<usize>().prop_map(Step::Release),
    ]
}

/// Expected state of the pool, kept without an index.
#[derive(Default)]
struct Model {
    /// Capacity of each present endpoint, and whether it is open.
    present: BTreeMap<u64, (Resources, bool)>,
    placed: Vec<(u64, Resources)>,
}

impl Model {
    fn in_use(&self, id: u64) -> Resources {
        let placed = self.placed.iter().filter(|(at, _)| *at == id);
        placed.fold(Resources::default(), |sum, (_, need)| sum.plus(need))
    }

    fn has_room(&self, id: u64, need: &Resources) -> bool {
        self.present
            .get(&id)
            .is_some_and(|(capacity, open)| *open && capacity.fits(&self.in_use(id).plus(need)))
    }
}

proptest! {
    #[test]
    fn nothing_is_overcommitted(steps in prop::collection::vec(any_step(), 1..300)) {
        let mut pool = Pool::new(3);
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Insert(id, capacity) => {
                    pool.insert(endpoint(id, capacity));
                    let open = model.present.get(&id).is_none_or(|(_, open)| *open);
                    model.present.insert(id, (capacity, open));
                }
                Step::Remove(id) => {
                    pool.remove(EndpointId(id));
                    model.present.remove(&id);
                }
                Step::Open(id, open) => {
                    pool.set_open(EndpointId(id), open);
                    model.present.entry(id).and_modify(|entry| entry.1 = open);
                }
                Step::Speed(id, factor) => pool.set_slowdown(EndpointId(id), factor),
                Step::Choose(need, avoid) => match pool.choose(&need, &[EndpointId(avoid)], None) {
                    Some(EndpointId(id)) => {
                        prop_assert!(model.has_room(id, &need));
                        let only = model.present.iter().all(|(id, entry)| *id == avoid || !entry.1);
                        prop_assert!(id != avoid || only);
                        model.placed.push((id, need));
                    }
                    // With this few endpoints a choice examines all of them.
                    None => prop_assert!(
                        model.present.keys().all(|id| *id == avoid || !model.has_room(*id, &need))
                    ),
                },
                Step::Release(at) if !model.placed.is_empty() => {
                    let (id, need) = model.placed.swap_remove(at % model.placed.len());
                    pool.release(EndpointId(id), &need);
                }
                Step::Release(_) => {}
            }
            for id in 0..12 {
                prop_assert_eq!(pool.in_use(EndpointId(id)), model.in_use(id));
            }
            let free: u32 = model
                .present
                .iter()
                .filter(|(id, (capacity, open))| *open && capacity.fits(&model.in_use(**id)))
                .map(|(id, (capacity, _))| capacity.minus(&model.in_use(*id)).slots.0)
                .sum();
            prop_assert_eq!(pool.total_free(), Slots(free));
        }
    }
}

#[test]
fn executors_are_used_in_equal_shares() {
    let mut pool = pool_of([endpoint(0, slots(8)), endpoint(1, slots(4)), endpoint(2, slots(8))]);
    for _ in 0..10 {
        assert!(pool.choose(&Resources::SLOT, &[], None).is_some());
    }
    let used = [0, 1, 2].map(|id| pool.in_use(EndpointId(id)).slots.0);
    assert_eq!(used, [4, 2, 4]);
    assert_eq!(pool.total_free(), Slots(10));
}

#[test]
fn fast_endpoints_are_preferred_then_local_ones() {
    let mut pool = pool_of((0..3).map(|id| endpoint(id, slots(1))));
    pool.insert(Endpoint { remote: true, ..endpoint(1, slots(1)) });
    pool.set_slowdown(EndpointId(2), 5.0);
    let order: Vec<_> =
        std::iter::from_fn(|| pool.choose(&Resources::SLOT, &[], None)).map(|id| id.0).collect();
    assert_eq!(order, [0, 1, 2]);
    pool.release(EndpointId(1), &Resources::SLOT);
    assert_eq!(pool.free_endpoints(true).count(), 0);
    assert_eq!(pool.free_endpoints(false).collect::<Vec<_>>(), [(EndpointId(1), slots(1))]);
}

#[test]
fn small_tasks_are_packed_so_that_large_ones_fit() {
    let mut pool = pool_of((0..8).map(|id| endpoint(id, worker(64, 256, 0))));
    for _ in 0..200 {
        assert!(pool.choose(&worker(1, 2, 0), &[], None).is_some());
    }
    for _ in 0..4 {
        assert!(pool.choose(&worker(64, 256, 0), &[], None).is_some());
    }
}

#[test]
fn accelerators_are_used_only_by_tasks_that_need_them() {
    let mut pool = pool_of([endpoint(0, worker(16, 32, 1)), endpoint(1, worker(16, 32, 0))]);
    for _ in 0..16 {
        assert_eq!(pool.choose(&worker(1, 1, 0), &[], None), Some(EndpointId(1)));
    }
    assert_eq!(pool.choose(&worker(1, 1, 1), &[], None), Some(EndpointId(0)));
    assert_eq!(pool.choose(&worker(1, 1, 1), &[], None), None);
    assert!(!pool.could_ever_fit(&worker(1, 33, 0)));
    assert!(pool.could_ever_fit(&worker(16, 32, 1)));
}

#[test]
fn a_job_is_spread_over_racks() {
    let mut pool = pool_of((0..32).map(|id| endpoint(id, worker(64, 256, 0))));
    let mut spread = RackCounts::default();
    for _ in 0..16 {
        let id = pool.choose(&worker(4, 8, 0), &[], Some(&spread)).expect("the pool has capacity");
        spread.add(pool.rack(id).expect("it was inserted"));
    }
    let counts: Vec<_> = (0..4).map(|rack| spread.count(RackId(rack))).collect();
    assert!(counts.iter().all(|count| (2..=6).contains(count)), "{counts:?}");
}

#[test]
fn a_shrunk_endpoint_takes_nothing_until_enough_is_released() {
    let mut pool = pool_of([endpoint(0, slots(8))]);
    (0..6).for_each(|_| assert!(pool.take(EndpointId(0), &Resources::SLOT)));
    pool.insert(endpoint(0, slots(4)));
    (0..2).for_each(|_| {
        assert!(!pool.take(EndpointId(0), &Resources::SLOT));
        pool.release(EndpointId(0), &Resources::SLOT);
    });
    assert!(!pool.take(EndpointId(0), &Resources::SLOT));
    pool.release(EndpointId(0), &Resources::SLOT);
    assert!(pool.take(EndpointId(0), &Resources::SLOT));
}

#[test]
fn equal_seeds_give_equal_choices() {
    let choices = || {
        let mut pool = pool_of((0..50).map(|id| endpoint(id, slots(8))));
        std::iter::from_fn(|| pool.choose(&Resources::SLOT, &[], None)).collect::<Vec<_>>()
    };
    assert_eq!(choices(), choices());
}
