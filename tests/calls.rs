//! Commands that call entries, against the entries of the demonstration.

mod common;

use common::{Folder, Run, run};
use demo::{Deployment, Options};
use standin::ledger::Step;
use std::io;
use telemetry::Level;

/// Runs `test` in a deployment of two data centres.
fn with_deployment(test: impl FnOnce(&Deployment)) {
    let (log, guard) = telemetry::start(io::sink(), Level::Info).unwrap();
    smol::block_on(async {
        let deployment = Deployment::start(Options { executors: 1 }, &log).await.unwrap();
        test(&deployment);
        deployment.stop().await;
    });
    drop(guard);
}

/// Runs `primrosestep` with `args` against all entries of `deployment`.
fn call(deployment: &Deployment, key: &str, args: &[&str]) -> Run {
    let entries = deployment.entries().iter().map(|entry| entry.http().to_string());
    let entries = entries.collect::<Vec<_>>().join(",");
    run(&[args, &["--json", "--entry", &entries, "--key", key]].concat())
}

#[test]
fn a_job_is_submitted_fetched_and_shown() {
    let folder = Folder::new();
    folder.write(
        "job.json",
        r#"{ "service": "templating", "tasks": [
            { "body": { "ms": 5, "echo": 0 } }, { "body": { "ms": 5, "echo": 1 } }
        ] }"#,
    );
    let job = format!("{}/job.json", folder.path());
    with_deployment(|deployment| {
        let submitted = call(deployment, "demo-firm", &["submit", &job]);
        assert_eq!(submitted.code, 0, "{}", submitted.stderr);
        assert_eq!(submitted.json()["outputs"][1]["body"]["echo"], 1);
        let started = call(deployment, "demo-firm", &["submit", &job, "--no-wait"]);
        let id = started.json()["id"].as_str().unwrap().to_owned();
        let fetched = call(deployment, "demo-firm", &["fetch", &id]);
        assert_eq!(fetched.code, 0, "{}", fetched.stderr);
        assert_eq!(fetched.json()["id"], id);
        let cancelled = call(deployment, "demo-firm", &["cancel", &id]);
        assert_eq!(cancelled.json()["id"], id, "too late to cancel");
        assert_eq!(deployment.ledger().count(Step::Start), 4);
        for what in ["config", "executors", "firms", "jobs", "peers"] {
            let shown = call(deployment, "demo-operator", &["show", what]);
            assert_eq!(shown.code, 0, "{what}: {}", shown.stderr);
            assert!(shown.json().is_object());
        }
    });
}

#[test]
fn refusals_and_wrong_keys_have_exit_code_1() {
    let folder = Folder::new();
    folder.write("body.json", r#"{"ms": 1}"#);
    let body = format!("{}/body.json", folder.path());
    with_deployment(|deployment| {
        let done = call(deployment, "demo-firm", &["request", "templating", &body]);
        assert_eq!((done.code, &done.json()["status"]), (0, &200.into()), "{}", done.stderr);
        let unknown = call(deployment, "demo-firm", &["request", "baling", &body]);
        assert_eq!(unknown.code, 1);
        assert!(unknown.stderr.contains(r#""outcome":"not-run""#), "{}", unknown.stderr);
        let stranger = call(deployment, "nobody", &["request", "templating", &body]);
        assert_eq!(stranger.code, 1, "{}", stranger.stderr);
        let firm = call(deployment, "demo-firm", &["show", "config"]);
        assert_eq!(firm.code, 1, "a firm's key is no operator's");
    });
}

#[test]
fn unreachable_entries_and_wrong_jobs_have_their_own_codes() {
    let folder = Folder::new();
    folder.write("job.json", r#"{ "service": "templating" }"#);
    let job = format!("{}/job.json", folder.path());
    let args = ["--entry", "127.0.0.1:1", "--key", "k"];
    let wrong = run(&[["submit", &job].as_slice(), &args].concat());
    assert_eq!(wrong.code, 2, "{}", wrong.stderr);
    assert!(wrong.stderr.contains("tasks"), "{}", wrong.stderr);
    let unreachable = run(&[["show", "jobs"].as_slice(), &args].concat());
    assert_eq!(unreachable.code, 4, "{}", unreachable.stderr);
}

#[test]
fn the_demonstration_keeps_its_guarantees() {
    let run = run(&["--json", "demo", "--tasks", "60", "--executors", "1"]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    let summary = run.json();
    assert_eq!(summary["matching"], 60);
    assert_eq!(summary["started_twice"], 0);
    assert_eq!(summary["started_by_resubmission"], 0);
    assert_eq!(summary["refusal"]["outcome"], "not-run");
    assert_eq!(summary["refusal"]["started"], 0);
}

#[test]
fn generated_keys_and_certificates_match() {
    let folder = Folder::new();
    let made = run(&["--json", "keys", "authority", "--out", folder.path()]);
    assert_eq!(made.code, 0, "{}", made.stderr);
    let issued = run(&["--json", "keys", "entry", "cut-entry-1", "--out", folder.path()]);
    assert_eq!(issued.code, 0, "{}", issued.stderr);
    let file = |name: &str| format!("{}/{name}", folder.path()).into();
    let identity = link::tls::Identity::load(&link::tls::Files {
        authority: file("authority.pem"),
        certificate: file("cut-entry-1.pem"),
        key: file("cut-entry-1.key.pem"),
    });
    identity.unwrap().check(site::id::EntryId::of("cut-entry-1")).unwrap();
    let again = run(&["keys", "authority", "--out", folder.path()]);
    assert_eq!(again.code, 2, "an authority is not written over");
    let key = run(&["--json", "keys", "firm"]).json();
    let digest = settings::digest(key["key"].as_str().unwrap().as_bytes()).to_string();
    assert_eq!(key["digest"], digest);
}
