//! Runs a fixed set of generated cases for each target, and every stored case that failed once.

use fuzz::{
    cases,
    run::{self, Run},
    target::Name,
};
use parking_lot::Mutex;

const SEED: u64 = 2;

/// Heap and panics are counted for the whole process, so one target runs at a time.
static LOCK: Mutex<()> = Mutex::new(());

fn check_target(name: Name, count: u64) {
    let _lock = LOCK.lock();
    let mut target = name.open();
    for (file, case) in cases::load(target.name()).unwrap() {
        let result = run::check(target.as_mut(), &case).0;
        assert!(result.is_ok(), "{}/{file}: {result:?}", target.name());
    }
    let run = Run::generate(target.as_mut(), count, SEED, true);
    let found: Vec<_> = run.findings.values().map(|(count, _, finding)| (count, finding)).collect();
    assert!(found.is_empty(), "{}: {found:?}", target.name());
    assert_eq!(run.cases, count);
    assert!(run.outcomes.len() > 1, "all cases have the same result: {:?}", run.outcomes);
}

#[test]
fn callers_requests() {
    check_target(Name::Requests, 500);
}

#[test]
fn settings_folders() {
    check_target(Name::Settings, 100);
}

#[test]
fn daemon_settings() {
    check_target(Name::Daemon, 2_000);
}

#[test]
fn answers_of_the_platform() {
    check_target(Name::Platform, 600);
}

#[test]
fn documents_in_the_platform() {
    check_target(Name::Documents, 3_000);
}

#[test]
fn answers_of_endpoints() {
    check_target(Name::Endpoint, 400);
}

#[test]
fn messages_of_peers() {
    check_target(Name::Peers, 1_000);
}
