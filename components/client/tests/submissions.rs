//! Submissions and retries: which identifier is sent to which entry.

mod common;

use client::{Client, Error, Request};
use common::{FakeEntry, Reaction};
use site::{submission::Outcome, unit::Span};
use smol::block_on;

fn client(entries: &[&FakeEntry]) -> Client {
    Client::new(entries.iter().map(|entry| entry.address), "key").unwrap()
}

fn request() -> Request {
    Request { deadline: Some(Span::from_secs(20)), ..Request::new("check", "edge") }
}

#[test]
fn request_carries_an_id_of_the_entry() {
    let entry = FakeEntry::start(1, vec![Reaction::complete("cut")]);
    let request = Request {
        crew: Some("fitters".into()),
        repeatable: false,
        content_type: "model/step".into(),
        ..request()
    };
    let response = block_on(client(&[&entry]).request(&request)).unwrap();
    assert_eq!((response.status, response.body.as_slice()), (200, &b"cut"[..]));
    let seen = entry.seen();
    assert_eq!(seen.line, "POST /v1/requests/check HTTP/1.1");
    assert_eq!(seen.id(), response.id.to_string());
    assert!(seen.id().starts_with("0-0-1-0."));
    assert!(seen.is_first());
    assert_eq!(seen.body, b"edge");
    assert_eq!(seen.header("authorization"), Some("Bearer key"));
    assert_eq!(seen.header("content-type"), Some("model/step"));
    assert_eq!(seen.header("primrosestep-crew"), Some("fitters"));
    assert_eq!(seen.header("primrosestep-repeatable"), Some("false"));
}

#[test]
fn lost_response_is_retried_elsewhere_under_the_same_id() {
    let a = FakeEntry::start(1, vec![Reaction::Close]);
    let b = FakeEntry::start(2, vec![Reaction::complete("")]);
    block_on(client(&[&a, &b]).request(&request())).unwrap();
    let (first, second) = (a.seen(), b.seen());
    assert_eq!(first.id(), second.id());
    assert!(first.is_first() && !second.is_first());
}

#[test]
fn unresponsive_entry_is_abandoned() {
    let a = FakeEntry::start(1, vec![Reaction::Hang]);
    let b = FakeEntry::start(2, vec![Reaction::complete("")]);
    let request = Request { deadline: Some(Span::from_secs(2)), ..request() };
    block_on(client(&[&a, &b]).request(&request)).unwrap();
    assert_eq!(a.seen().id(), b.seen().id());
}

#[test]
fn unreachable_entry_is_skipped() {
    let entry = FakeEntry::start(1, vec![Reaction::complete("")]);
    let client = Client::new([FakeEntry::absent(), entry.address], "key").unwrap();
    block_on(client.request(&request())).unwrap();
    assert!(entry.seen().is_first());
}

#[test]
fn draining_home_is_replaced_by_another() {
    let a = FakeEntry::start(1, vec![Reaction::problem(503, "draining", "not-run", None)]);
    let b = FakeEntry::start(2, vec![Reaction::complete("")]);
    block_on(client(&[&a, &b]).request(&request())).unwrap();
    let (first, second) = (a.seen(), b.seen());
    assert_ne!(first.id(), second.id());
    assert!(second.id().starts_with("0-0-2-0.") && second.is_first());
}

#[test]
fn overload_is_retried_under_a_new_id() {
    let busy = Reaction::problem(429, "overload", "not-run", Some(1));
    let entry = FakeEntry::start(1, vec![busy, Reaction::complete("")]);
    block_on(client(&[&entry]).request(&request())).unwrap();
    let (first, second) = (entry.seen(), entry.seen());
    assert_ne!(first.id(), second.id());
    assert!(second.is_first());
}

#[test]
fn what_may_have_run_keeps_its_id() {
    let away = Reaction::problem(503, "home-unreachable", "may-have-run", Some(1));
    let entry = FakeEntry::start(1, vec![away, Reaction::complete("")]);
    block_on(client(&[&entry]).request(&request())).unwrap();
    let (first, second) = (entry.seen(), entry.seen());
    assert_eq!(first.id(), second.id());
    assert!(!second.is_first());
}

#[test]
fn response_of_an_intermediary_keeps_the_id() {
    let entry = FakeEntry::start(1, vec![Reaction::plain(503, "balancer"), Reaction::complete("")]);
    block_on(client(&[&entry]).request(&request())).unwrap();
    let (first, second) = (entry.seen(), entry.seen());
    assert_eq!(first.id(), second.id());
    assert!(!second.is_first());
}

#[test]
fn final_problem_is_returned() {
    let entry =
        FakeEntry::start(1, vec![Reaction::problem(410, "home-gone", "may-have-run", None)]);
    let error = block_on(client(&[&entry]).request(&request())).unwrap_err();
    let Error::Problem(problem) = &error else { panic!("{error}") };
    assert_eq!((problem.status, problem.reason.as_str()), (410, "home-gone"));
    assert_eq!(error.outcome(), Some(Outcome::MayHaveRun));
}

#[test]
fn given_id_is_never_replaced() {
    let id = "0-0-9-0.6f2c7b0e-5a4d-4f55-9a3c-3e2f6f0a1b2c".parse().unwrap();
    let entry = FakeEntry::start(1, vec![Reaction::problem(429, "overload", "not-run", Some(1))]);
    let request = Request { id: Some(id), ..request() };
    let error = block_on(client(&[&entry]).request(&request)).unwrap_err();
    assert_eq!(error.outcome(), Some(Outcome::NotRun));
    let seen = entry.seen();
    assert_eq!(seen.id(), id.to_string());
    assert!(!seen.is_first());
}

#[test]
fn deadline_without_an_answer_may_have_run() {
    let entry = FakeEntry::start(1, vec![Reaction::Hang]);
    let request = Request { deadline: Some(Span::from_millis(50)), ..request() };
    let error = block_on(client(&[&entry]).request(&request)).unwrap_err();
    let Error::Deadline { id, outcome } = error else { panic!("{error}") };
    assert_eq!(outcome, Outcome::MayHaveRun);
    assert_eq!(id.unwrap().to_string(), entry.seen().id());
}

#[test]
fn deadline_without_any_entry_did_not_run() {
    let client = Client::new([FakeEntry::absent()], "key").unwrap();
    let request = Request { deadline: Some(Span::from_millis(50)), ..request() };
    let error = block_on(client.request(&request)).unwrap_err();
    assert_eq!(error, Error::Deadline { id: None, outcome: Outcome::NotRun });
    assert_eq!(Client::new([], "key").unwrap_err(), Error::NoEntries);
}
