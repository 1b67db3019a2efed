//! Jobs and queries about them.

mod common;

use client::{
    Client, Error, Job,
    job::{Cancelled, Fetched, Status},
};
use common::{FakeEntry, Reaction};
use serde_json::json;
use site::{id::SubmissionId, submission::Outcome, unit::Span};
use smol::block_on;

const COMPLETE: &str = r#"{"id":"x","outcome":"complete","outputs":
    [{"status":200,"content_type":"application/json","body":{"fits":true}}]}"#;

fn id() -> SubmissionId {
    "0-0-9-0.6f2c7b0e-5a4d-4f55-9a3c-3e2f6f0a1b2c".parse().unwrap()
}

fn job() -> Job {
    let job = json!({
        "service": "check",
        "deadline": "20s",
        "tasks": [{ "body": { "edge": 1 } }, { "body": "x", "run_time": "40ms" }],
    });
    serde_json::from_str(&job.to_string()).unwrap()
}

fn with(script: Vec<Reaction>) -> (FakeEntry, Client) {
    let entry = FakeEntry::start(1, script);
    let client = Client::new([entry.address], "key").unwrap();
    (entry, client)
}

#[test]
fn job_is_sent_and_its_answer_read() {
    let (entry, client) = with(vec![Reaction::complete(COMPLETE)]);
    let complete = block_on(client.job(&job())).unwrap();
    assert_eq!(complete.outputs[0].body, json!({ "fits": true }));
    let seen = entry.seen();
    assert_eq!(seen.line, "POST /v1/jobs HTTP/1.1");
    let body: serde_json::Value = serde_json::from_slice(&seen.body).unwrap();
    let tasks = json!([{ "body": { "edge": 1 } }, { "body": "x", "run_time": "40ms" }]);
    assert_eq!(body, json!({ "service": "check", "tasks": tasks }));
}

#[test]
fn started_job_is_fetched_later() {
    let (entry, client) =
        with(vec![Reaction::pending(), Reaction::pending(), Reaction::complete(COMPLETE)]);
    let id = block_on(client.start_job(&job())).unwrap();
    let seen = entry.seen();
    assert_eq!(seen.line, "POST /v1/jobs?wait=false HTTP/1.1");
    assert_eq!(seen.id(), id.to_string());
    let wait = Span::from_millis(10);
    assert!(matches!(block_on(client.fetch(id, wait)).unwrap(), Fetched::Pending));
    assert_eq!(entry.seen().line, format!("GET /v1/jobs/{id}/answer?wait=10ms HTTP/1.1"));
    let Fetched::Complete(complete) = block_on(client.fetch(id, wait)).unwrap() else { panic!() };
    assert_eq!(complete.outputs.len(), 1);
}

#[test]
fn status_is_read() {
    let (_entry, client) =
        with(vec![Reaction::plain(200, r#"{"tasks":9,"done":4,"finished":false}"#)]);
    let status = block_on(client.status(id())).unwrap();
    assert_eq!(status, Status { tasks: 9, done: 4, finished: false });
}

#[test]
fn cancellation_reports_an_earlier_answer() {
    let ended = r#"{"id":"x","outcome":"not-run","reason":"cancelled"}"#;
    let (_entry, client) = with(vec![Reaction::plain(200, ended), Reaction::complete(COMPLETE)]);
    let cancelled = block_on(client.cancel(id())).unwrap();
    assert!(matches!(cancelled, Cancelled::Ended(Outcome::NotRun)));
    assert!(matches!(block_on(client.cancel(id())).unwrap(), Cancelled::Complete(_)));
}

#[test]
fn queries_go_to_the_next_entry() {
    let absent = FakeEntry::absent();
    let entry = FakeEntry::start(1, vec![Reaction::problem(404, "unknown", "may-have-run", None)]);
    let client = Client::new([absent, entry.address], "key").unwrap();
    let Error::Problem(problem) = block_on(client.status(id())).unwrap_err() else { panic!() };
    assert_eq!(problem.reason, "unknown");
    let nobody = Client::new([absent], "key").unwrap();
    assert_eq!(block_on(nobody.status(id())).unwrap_err(), Error::Unreachable);
}

#[test]
fn response_of_another_server_is_malformed() {
    let (_entry, client) = with(vec![Reaction::plain(200, "<html>"), Reaction::plain(404, "")]);
    assert_eq!(block_on(client.status(id())).unwrap_err(), Error::Malformed { status: 200 });
    assert_eq!(block_on(client.show("jobs")).unwrap_err(), Error::Malformed { status: 404 });
}

/// A fetch that no entry answers says nothing about the job.
#[test]
fn a_fetch_without_a_response_does_not_report_not_run() {
    let (_entry, client) = with(vec![Reaction::Close]);
    let lost = block_on(client.fetch(id(), Span::from_millis(1))).unwrap_err();
    let nobody = Client::new([FakeEntry::absent()], "key").unwrap();
    let not_sent = block_on(nobody.cancel(id())).unwrap_err();
    assert_eq!((lost.outcome(), not_sent.outcome()), (None, None));
}
