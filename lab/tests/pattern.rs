//! Tests the validation of patterns and the arrivals that a seed determines.

use lab::{
    pattern::{Pattern, PatternError},
    tally::Tally,
    trial,
};
use serde_json::{Value, json};
use std::{fs, path::PathBuf};

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("patterns")
}

fn busy() -> Value {
    let text = fs::read_to_string(folder().join("busy.json")).expect("a pattern");
    serde_json::from_str(&text).expect("JSON")
}

fn check(pattern: Value) -> Result<(), PatternError> {
    let pattern: Pattern = serde_json::from_value(pattern).expect("a pattern");
    pattern.check()
}

#[test]
fn all_pattern_files_are_valid() {
    for file in fs::read_dir(folder()).expect("patterns") {
        let path = file.expect("a file").path();
        Pattern::load(&path).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn invalid_values_are_rejected_with_the_field_name() {
    let problems: [(&str, Value, &str); 6] = [
        ("zones", json!([]), "zones"),
        ("cores", json!([0]), "cores"),
        ("kinds", json!([]), "kinds"),
        ("load", json!(-1.0), "load"),
        ("bursts", json!([{"at_s": 1, "for_s": 1, "x": 2, "kind": 9}]), "bursts"),
        ("faults", json!([{"at_ms": 1, "kind": "kill", "entry": 99}]), "faults"),
    ];
    for (field, value, named) in problems {
        let mut pattern = busy();
        pattern[field] = value;
        let error = check(pattern).expect_err(field).to_string();
        assert!(error.starts_with(named), "{error}");
    }
    let mut unknown = busy();
    unknown["colour"] = json!("red");
    assert!(serde_json::from_value::<Pattern>(unknown).is_err());
}

#[test]
fn arrivals_of_a_seed_do_not_depend_on_options() {
    let pattern: Pattern = serde_json::from_value(busy()).expect("a pattern");
    let mut other = pattern.clone();
    other.options.queue_ahead = 7;
    let arrivals = |pattern: &Pattern, seed| {
        let arrivals = pattern.plan(seed).arrivals.expect("arrivals");
        arrivals.iter().map(|arrival| (arrival.at, arrival.lengths.clone())).collect::<Vec<_>>()
    };
    assert_eq!(arrivals(&pattern, 3), arrivals(&other, 3));
    assert_ne!(arrivals(&pattern, 3), arrivals(&pattern, 4));
}

#[test]
fn offered_load_matches_the_arrivals() {
    let pattern: Pattern = serde_json::from_value(busy()).expect("a pattern");
    let arrivals = pattern.plan(1).arrivals.expect("arrivals");
    let task_s: f64 =
        arrivals.iter().flat_map(|arrival| &arrival.lengths).map(|span| span.0 as f64 / 1e6).sum();
    // Two tasks of 14 cores fit on 32 cores, three on 48.
    let capacity = pattern.seconds as f64 * (32.0 * 2.0 + 16.0 * 3.0);
    let ratio = task_s / capacity / pattern.offered();
    assert!((0.85..1.15).contains(&ratio), "{ratio}");
}

/// Guards against refused callers that come back at once, all together or more often than they may,
/// and against results that are counted from a later submission.
#[test]
fn refused_callers_submit_again_after_whole_seconds() {
    let mut pattern: Pattern = serde_json::from_value(busy()).expect("a pattern");
    (pattern.seconds, pattern.load) = (6, pattern.load * 2.0);
    let once = trial::play(&pattern, 0);
    pattern.retries = 2;
    let again = trial::play(&pattern, 0);
    assert_eq!(once.retries, 0.0);
    assert!(again.retries > 0.1 && again.retries < 2.0, "{}", again.retries);
    let jobs = |tally: &Tally| tally.submissions.iter().sum::<u64>() as f64;
    assert_eq!(jobs(&once), once.all.jobs as f64);
    assert_eq!(jobs(&again), (again.all.jobs as f64 * (1.0 + again.retries)).round());
    // The shortest `Retry-After` is a second, so that nothing changes before.
    assert_eq!(again.submissions[0], once.submissions[0]);
    assert!(again.submissions[3..].iter().sum::<u64>() > once.submissions[3..].iter().sum());
    pattern.retry_after_s = Some(9);
    assert_eq!(trial::play(&pattern, 0).retries, 0.0, "jobs no longer arrive then");
}
