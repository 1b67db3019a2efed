//! Invalid requests: each kind is rejected with its own problem.

mod common;

use common::{BackendEvent, ID, KEY, OPERATOR_KEY, OTHER_KEY, Response, TestServer, read, request};
use serde_json::json;
use server::Options;
use site::unit::{Memory, Span};
use std::{
    io::{Read, Write},
    net::TcpStream,
};

const CHECK: &str = "POST /v1/requests/check";
const JOBS: &str = "POST /v1/jobs";

/// Label, request line and headers.
type Case<'c> = (&'c str, &'c str, &'c [(&'c str, &'c str)]);

/// Formats status, reason, outcome and detail of a response as one line.
fn line(case: &str, response: &Response) -> String {
    let (status, reason, outcome) = response.problem();
    let detail = response.json()["detail"].as_str().unwrap().to_owned();
    format!("{case}: {status} {reason} {outcome}: {detail}\n")
}

fn assert_nothing_submitted(server: &TestServer) {
    assert!(server.seen.try_recv().is_err(), "a rejected request was submitted");
}

#[test]
fn headers() {
    let server = TestServer::new();
    let id = ("Primrosestep-Id", ID);
    let cases: [Case<'_>; 18] = [
        ("no such path", "GET /v2", &[]),
        ("wrong method", "PUT /v1/jobs", &[]),
        ("unknown service", "POST /v1/requests/polish", &[]),
        ("unknown crew", CHECK, &[("Primrosestep-Crew", "bakers")]),
        ("malformed id", CHECK, &[("Primrosestep-Id", "0-0-0.x")]),
        ("malformed id in path", "GET /v1/jobs/17", &[]),
        ("id and key", CHECK, &[id, ("Idempotency-Key", "k")]),
        ("two ids", CHECK, &[id, id]),
        ("long key", CHECK, &[("Idempotency-Key", &"k".repeat(129))]),
        ("zero deadline", CHECK, &[("Primrosestep-Deadline", "0ms")]),
        ("past deadline", CHECK, &[("Primrosestep-Deadline", "-5s")]),
        ("malformed deadline", CHECK, &[("Primrosestep-Deadline", "soon")]),
        ("malformed flag", CHECK, &[("Primrosestep-Repeatable", "yes")]),
        ("unknown parameter", "POST /v1/requests/check?fast=1", &[]),
        ("malformed length", CHECK, &[("Content-Length", "+5")]),
        ("two lengths", CHECK, &[("Content-Length", "5"), ("Content-Length", "6")]),
        ("gzip", CHECK, &[("Transfer-Encoding", "gzip")]),
        ("id not first", "POST /v1/requests/polish", &[id]),
    ];
    let table: String = cases
        .into_iter()
        .map(|(case, at, headers)| line(case, &server.send(at, headers, b"")))
        .collect();
    insta::assert_snapshot!(table);
    let first = [id, ("Primrosestep-First", "true")];
    let response = server.send("POST /v1/requests/polish", &first, b"");
    assert_eq!(response.problem(), (404, "unknown-service".into(), "not-run".into()));
    assert_eq!(server.send("PUT /v1/jobs", &[], b"").header("allow"), Some("POST"));
    assert_nothing_submitted(&server);
}

#[test]
fn keys() {
    let server = TestServer::new();
    let cases = [
        ("unknown key", "nobody", CHECK),
        ("operator's key for work", OPERATOR_KEY, CHECK),
        ("no contract", OTHER_KEY, "POST /v1/requests/tag"),
        ("firm's key for operators", KEY, "GET /v1/admin/show/jobs"),
    ];
    let table: String = cases
        .into_iter()
        .map(|(case, key, at)| line(case, &server.send_as(key, at, &[], b"")))
        .collect();
    insta::assert_snapshot!(table);
    assert_nothing_submitted(&server);
}

#[test]
fn jobs() {
    let server = TestServer::new();
    let job = |tasks: usize| {
        let tasks = vec![json!({ "body": 1 }); tasks];
        json!({ "service": "check", "tasks": tasks }).to_string()
    };
    let with = |name: &str, value: serde_json::Value| {
        let mut job = json!({ "service": "check", "tasks": [{ "body": 1 }] });
        job[name] = value;
        job.to_string()
    };
    let cases = [
        ("wrong JSON", "{\n \"service\": check }".into()),
        ("cut JSON that names an id", r#"{"id": "0-0"#.to_owned()),
        ("no job", "[1]".into()),
        ("unknown field", with("urgent", json!(true))),
        ("no tasks", job(0)),
        ("781 tasks", job(781)),
        ("no body", with("tasks", json!([{ "content_type": "x" }]))),
        ("wrong run time", with("tasks", json!([{ "body": 1, "run_time": "1 moment" }]))),
        ("wrong needs", with("tasks", json!([{ "body": 1, "needs": { "gpus": 1 } }]))),
        ("wrong base64", with("tasks", json!([{ "body": "?", "encoding": "base64" }]))),
        ("large task", with("tasks", json!([{ "body": "x".repeat(1_025) }]))),
        ("malformed id", with("id", json!("17"))),
        ("malformed deadline", with("deadline", json!("1 fortnight"))),
        ("unknown service", with("service", json!("polish"))),
        ("no body at all", String::new()),
    ];
    let table: String = cases
        .iter()
        .map(|(case, body)| line(case, &server.send(JOBS, &[], body.as_bytes())))
        .collect();
    insta::assert_snapshot!(table);

    let twice = server.send(JOBS, &[("Primrosestep-Id", ID)], with("id", json!(ID)).as_bytes());
    assert_eq!(twice.problem().1, "ambiguous-id");
    let keyed =
        server.send("POST /v1/jobs?wait=false", &[("Idempotency-Key", "k")], job(1).as_bytes());
    assert_eq!(keyed.problem(), (400, "key-without-wait".into(), "may-have-run".into()));
    assert_nothing_submitted(&server);
}

/// Such a type can't be sent to any endpoint, and each that was tried would look unreachable.
#[test]
fn a_content_type_that_is_no_header_value_is_rejected() {
    let server = TestServer::new();
    for content_type in ["text/plain\r\nX: 1", "text/plain\n", "text/\0plain"] {
        let task = json!({ "body": "x", "content_type": content_type });
        let job = json!({ "service": "check", "tasks": [{ "body": 1 }, task] }).to_string();
        let response = server.send(JOBS, &[], job.as_bytes());
        assert_eq!(response.problem(), (400, "malformed-job".into(), "not-run".into()));
    }
    assert_nothing_submitted(&server);
}

#[test]
fn truncated_body() {
    let server = TestServer::new();
    let whole = request(KEY, CHECK, &[], b"cutout");
    let response = server.raw(&whole[..whole.len() - 2], true);
    assert_eq!(response.problem(), (400, "truncated-body".into(), "not-run".into()));
    let chunked = request(KEY, CHECK, &[("Transfer-Encoding", "chunked")], b"");
    for chunks in [&b"9\r\ncut"[..], b"nine\r\ncut\r\n"] {
        let response = server.raw(&[&chunked, chunks].concat(), true);
        assert_eq!(response.problem().1, "truncated-body");
    }
    let whole = request(KEY, JOBS, &[], br#"{"service":"check","tasks":[]}"#);
    let response = server.raw(&whole[..whole.len() - 9], true);
    assert_eq!(response.problem(), (400, "truncated-body".into(), "may-have-run".into()));
    assert_nothing_submitted(&server);
}

#[test]
fn declared_large_body_is_rejected_unread() {
    let server = TestServer::new();
    let head = request(KEY, CHECK, &[("Content-Length", "1025")], b"");
    let response = server.raw(&head, false);
    assert_eq!(response.problem(), (413, "large-body".into(), "not-run".into()));
    assert_eq!(response.header("connection"), Some("close"));
    assert_nothing_submitted(&server);
}

#[test]
fn endless_body_is_stopped_at_the_limit() {
    let server = TestServer::new();
    let mut stream = server.connect();
    stream.write_all(&request(KEY, CHECK, &[("Transfer-Encoding", "chunked")], b"")).unwrap();
    let chunk = [&b"1000\r\n"[..], &[b'x'; 4096], b"\r\n"].concat();
    // The entry discards a bounded number of bytes and closes; then writes fail.
    while stream.write_all(&chunk).is_ok() {}
    assert_nothing_submitted(&server);
}

#[test]
fn large_chunked_body_is_rejected() {
    let server = TestServer::new();
    let head = request(KEY, CHECK, &[("Transfer-Encoding", "chunked")], b"");
    let chunk = [&b"1000\r\n"[..], &[b'x'; 4096], b"\r\n"].concat();
    let response = server.raw(&[head, chunk].concat(), false);
    assert_eq!(response.problem(), (413, "large-body".into(), "not-run".into()));
}

#[test]
fn bodies_share_a_bounded_memory() {
    let server = TestServer::with(Options { body_memory: Memory(8), ..Options::default() });
    assert_eq!(server.send(CHECK, &[], b"12345678").status, 200);
    let response = server.send(CHECK, &[], b"123456789");
    assert_eq!(response.problem(), (503, "no-memory".into(), "not-run".into()));
    assert_eq!(server.send(CHECK, &[], b"12345678").status, 200);
}

fn with_short_receive_limit() -> TestServer {
    TestServer::with(Options { receive_limit: Span::from_millis(250), ..Options::default() })
}

#[test]
fn slow_body() {
    let server = with_short_receive_limit();
    let response = server.raw(&request(KEY, CHECK, &[("Content-Length", "9")], b""), false);
    assert_eq!(response.problem(), (408, "slow-body".into(), "not-run".into()));
    assert_nothing_submitted(&server);
}

#[test]
fn slow_head() {
    let server = with_short_receive_limit();
    let response = server.raw(b"POST /v1/requests/check HTTP/1.1\r\nHost:", false);
    assert_eq!(response.problem(), (408, "slow-head".into(), "may-have-run".into()));
}

#[test]
fn slow_head_after_another_request() {
    let server = with_short_receive_limit();
    let mut stream = server.connect();
    stream.write_all(&request(KEY, CHECK, &[], b"x")).unwrap();
    assert_eq!(read(&mut stream).status, 200);
    stream.write_all(b"POST /v1/re").unwrap();
    assert_eq!(read(&mut stream).problem().1, "slow-head");
}

#[test]
fn silent_connection_is_closed() {
    let server = with_short_receive_limit();
    let mut stream = server.connect();
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
}

#[test]
fn waiting_caller_is_not_slow() {
    let server = with_short_receive_limit();
    server.hold();
    let mut stream = server.connect();
    stream.write_all(&request(KEY, CHECK, &[], b"x")).unwrap();
    server.submission();
    // Another caller exceeds the limit later than this one would have.
    assert_eq!(server.raw(b"G", false).problem().1, "slow-head");
    assert!(server.seen.try_recv().is_err(), "the waiting caller timed out");
    drop(stream);
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Abandoned));
}

#[test]
fn malformed_heads() {
    let server = TestServer::new();
    let heads: [&[u8]; 5] = [
        b"POST /v1/requests/check HTTP/1.1\r\nHo",
        b"\0\0\0\0\r\n\r\n",
        b"BREW / HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET / HTTP/3.0\r\n\r\n",
    ];
    for head in heads {
        let response = server.raw(head, true);
        assert_eq!(response.problem(), (400, "malformed-head".into(), "may-have-run".into()));
    }
    assert_nothing_submitted(&server);
}

#[test]
fn bytes_sent_ahead_are_bounded() {
    let server = TestServer::new();
    server.hold();
    let mut stream: TcpStream = server.connect();
    stream.write_all(&request(KEY, CHECK, &[], b"x")).unwrap();
    server.submission();
    while stream.write_all(&[b'x'; 4096]).is_ok() {}
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Abandoned));
}
