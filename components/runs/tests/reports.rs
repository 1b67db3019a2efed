//! How often entries tell each other of their room.

use lab::world::{Plan, World};

const SECONDS: u64 = 2;

/// Reports that an entry sends in a second on average, each to one peer.
fn reports(entries: usize) -> u64 {
    let plan = Plan {
        entries,
        data_centres: 5,
        executors: 140,
        rate: 400,
        seconds: SECONDS,
        ..Plan::default()
    };
    let mut world = World::new(plan, 7);
    world.play();
    world.reports / entries as u64 / SECONDS
}

/// Eight peers hear of each change, all 34 every 150 ms. If all heard of each change, an entry sent
/// 592.
#[test]
fn a_large_site_does_not_multiply_the_reports_of_an_entry() {
    let reports = reports(35);
    assert!(reports <= 400, "{reports} reports a second");
}

/// If all 104 peers heard of an entry every 150 ms, it sent 757.
#[test]
fn three_times_the_entries_do_not_multiply_the_reports_of_each() {
    let reports = reports(105);
    assert!(reports <= 400, "{reports} reports a second");
}
