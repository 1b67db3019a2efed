//! Commands that check, compare and apply folders of settings.

mod common;

use common::{Folder, run};
use standin::platform::Platform;

/// A valid change to the sample settings.
const CHANGE: &str = r#"{ "services": { "templating": { "deadline": "12s" } } }"#;

fn platform() -> (Platform, String) {
    let platform = Platform::spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = platform.address().to_string();
    (platform, address)
}

#[test]
fn sample_settings_are_valid() {
    for name in ["kovacik", "clydeside"] {
        let run = run(&["--json", "check", &format!("fixtures/{name}")]);
        assert_eq!(run.code, 0, "{}", run.stderr);
        assert!(run.json()["executors"].as_u64().unwrap() >= 50);
    }
}

#[test]
fn errors_in_settings_report_file_and_line() {
    let run = run(&["check", "fixtures/bad/unknown-field"]);
    assert_eq!(run.code, 3);
    assert!(run.stderr.contains("20-change.json:"), "{}", run.stderr);
    assert!(run.stderr.contains("fix:"), "{}", run.stderr);
}

#[test]
fn a_change_is_shown_then_applied_once() {
    let (_platform, address) = platform();
    let folder = Folder::sample("kovacik");
    let apply = || run(&["--json", "apply", folder.path(), "--platform", &address]);
    let first = apply();
    assert_eq!(first.code, 0, "{}", first.stderr);
    assert_eq!(first.json()["revision"], 1);
    let again = apply();
    assert_eq!(
        (again.json()["revision"].clone(), again.json()["changed"].clone()),
        (1.into(), false.into())
    );
    folder.write("90-change.json", CHANGE);
    let diff = run(&["diff", folder.path(), "--platform", &address]);
    assert_eq!(diff.code, 0, "{}", diff.stderr);
    assert!(diff.stdout.contains("services.templating.deadline"), "{}", diff.stdout);
    assert_eq!(apply().json()["revision"], 2);
}

#[test]
fn a_conflicting_change_is_rejected_with_the_differences() {
    let (_platform, address) = platform();
    let apply = |folder: &Folder| run(&["--json", "apply", folder.path(), "--platform", &address]);
    let (one, other) = (Folder::sample("kovacik"), Folder::sample("kovacik"));
    assert_eq!(apply(&one).code, 0);
    assert_eq!(apply(&other).code, 0);
    one.write("90-change.json", CHANGE);
    assert_eq!(apply(&one).json()["revision"], 2);
    other.write("95-other.json", r#"{ "policy": { "prefer": "messages" } }"#);
    let refused = apply(&other);
    assert_eq!(refused.code, 5, "{}", refused.stderr);
    assert_eq!(refused.json()["base"], 1);
    assert_eq!(refused.json()["theirs"]["revision"], 2);
    let forced = run(&["apply", other.path(), "--base", "2", "--platform", &address]);
    assert_eq!(forced.code, 0, "{}", forced.stderr);
}

#[test]
fn lost_answers_change_the_settings_once() {
    let (platform, address) = platform();
    let folder = Folder::sample("kovacik");
    platform.lose_answers(3);
    let applied = run(&["--json", "apply", folder.path(), "--platform", &address]);
    assert_eq!(applied.code, 0, "{}", applied.stderr);
    assert_eq!(applied.json()["revision"], 1);
}

#[test]
fn an_unreachable_platform_and_a_missing_address_have_their_own_codes() {
    let (platform, address) = platform();
    platform.down(true);
    let unreachable = run(&["diff", "fixtures/kovacik", "--platform", &address]);
    assert_eq!(unreachable.code, 4, "{}", unreachable.stderr);
    let missing = run(&["--json", "diff", "fixtures/kovacik"]);
    assert_eq!(missing.code, 2);
    assert!(missing.stderr.contains("PRIMROSESTEP_PLATFORM"), "{}", missing.stderr);
}

#[test]
fn completions_are_printed() {
    let run = run(&["completions", "bash"]);
    assert_eq!(run.code, 0);
    assert!(run.stdout.contains("primrosestep"));
}
