//! The client library against the HTTP API.

mod common;

use client::{Client, Error, Job, Request, job::Fetched};
use common::{BackendEvent, KEY, OPERATOR_KEY, TestServer, output};
use site::{submission::Answer, unit::Span};
use smol::block_on;

fn client(server: &TestServer, key: &str) -> Client {
    Client::new([server.address()], key).unwrap()
}

fn job() -> Job {
    serde_json::from_str(r#"{"service": "check", "tasks": [{"body": {"n": 1}}]}"#).unwrap()
}

#[test]
fn requests_follow_each_other() {
    let server = TestServer::new();
    let client = client(&server, KEY);
    for _ in 0..3 {
        let response = block_on(client.request(&Request::new("check", "edge"))).unwrap();
        assert_eq!((response.status, response.body.as_slice()), (200, &b"cut"[..]));
        let submission = server.submission();
        assert_eq!(submission.id, response.id);
        assert_eq!(submission.id.token.epoch, 7);
        assert_eq!(submission.tasks[0].body, &b"edge"[..]);
    }
}

#[test]
fn large_body_is_a_problem() {
    let server = TestServer::new();
    let request = Request::new("check", vec![b'x'; 1 << 20]);
    let error = block_on(client(&server, KEY).request(&request)).unwrap_err();
    let Error::Problem(problem) = error else { panic!("{error}") };
    assert_eq!((problem.status, problem.reason.as_str()), (413, "large-body"));
}

#[test]
fn job_is_submitted_and_fetched() {
    let server = TestServer::new();
    server.answer(Answer::Complete(vec![output(200, "application/json", b"1")]));
    let client = client(&server, KEY);
    assert_eq!(block_on(client.job(&job())).unwrap().outputs[0].body, 1);
    server.submission();
    let id = block_on(client.start_job(&job())).unwrap();
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Begun(job) if job.id == id));
    let fetched = block_on(client.fetch(id, Span::from_secs(1))).unwrap();
    assert!(matches!(fetched, Fetched::Complete(complete) if complete.outputs.len() == 1));
}

#[test]
fn operator_drains() {
    let server = TestServer::new();
    block_on(client(&server, OPERATOR_KEY).drain()).unwrap();
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Drained));
    let error = block_on(client(&server, KEY).drain()).unwrap_err();
    assert!(matches!(error, Error::Problem(problem) if problem.reason == "key"));
}
