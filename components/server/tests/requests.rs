//! Route of single requests, connections and waiting callers.

mod common;

use common::{BackendEvent, ID, KEY, TestServer, output, read, request};
use server::Options;
use site::{
    id::{CrewId, FirmId, ServiceId},
    submission::{Answer, Kind},
    unit::Span,
};
use std::{
    io::{Read, Write},
    net::TcpStream,
};

const CHECK: &str = "POST /v1/requests/check";

#[test]
fn body_and_answer_pass_through_whole() {
    let server = TestServer::new();
    server.answer(Answer::Complete(vec![output(207, "image/png", b"\x89PNG\0")]));
    let response = server.send(CHECK, &[("Content-Type", "model/step")], b"\0\xffedge");
    assert_eq!((response.status, response.body.as_slice()), (207, &b"\x89PNG\0"[..]));
    assert_eq!(response.header("content-type"), Some("image/png"));
    assert_eq!(response.header("primrosestep-outcome"), Some("complete"));
    assert_eq!(response.header("primrosestep-home"), Some("0-0-0-7"));

    let submission = server.submission();
    assert_eq!(response.header("primrosestep-id"), Some(submission.id.to_string().as_str()));
    assert_eq!(submission.kind, Kind::Single);
    assert_eq!(submission.firm, FirmId::of("kovacik"));
    assert_eq!(submission.service, ServiceId::of("check"));
    assert_eq!(submission.crew, CrewId::default());
    assert_eq!(submission.tasks[0].body, &b"\0\xffedge"[..]);
    assert_eq!(submission.tasks[0].content_type, "model/step");
}

#[test]
fn chunked_bodies_are_joined() {
    let server = TestServer::new();
    let head = request(KEY, CHECK, &[("Transfer-Encoding", "chunked")], b"");
    let chunks = b"3\r\ncut\r\n4\r\nout!\r\n0\r\n\r\n";
    assert_eq!(server.raw(&[&head[..], chunks].concat(), false).status, 200);
    assert_eq!(server.submission().tasks[0].body, &b"cutout!"[..]);
}

#[test]
fn given_id_is_used() {
    let server = TestServer::new();
    let response = server.send(CHECK, &[("Primrosestep-Id", ID)], b"x");
    assert_eq!(response.header("primrosestep-id"), Some(ID));
    assert_eq!(server.submission().id.to_string(), ID);
}

#[test]
fn key_is_claimed_and_its_id_is_returned() {
    let server = TestServer::new();
    let headers = [("Idempotency-Key", "order 66"), ("Primrosestep-First", "true")];
    let response = server.send(CHECK, &headers, b"x");
    assert_eq!(response.header("primrosestep-id"), Some(ID));
    let BackendEvent::Submitted { key, first, .. } = server.seen.recv().unwrap() else { panic!() };
    assert_eq!((key.as_deref(), first), (Some("order 66"), true));
}

#[test]
fn request_can_only_restrict_repeatability() {
    let server = TestServer::new();
    let repeatable = |service: &str, flag: &str| {
        let line = format!("POST /v1/requests/{service}");
        server.send(&line, &[("Primrosestep-Repeatable", flag)], b"x");
        server.submission().repeatable
    };
    assert!(repeatable("check", "true"));
    assert!(!repeatable("check", "false"));
    assert!(!repeatable("tag", "true"));
}

#[test]
fn deadline_and_crew_reach_the_submission() {
    let server = TestServer::new();
    let headers = [("Primrosestep-Deadline", "800ms"), ("Primrosestep-Crew", "fitters")];
    server.send(CHECK, &headers, b"x");
    let submission = server.submission();
    assert!(submission.deadline > Span::ZERO && submission.deadline <= Span::from_millis(800));
    assert_eq!(submission.crew, CrewId::of("fitters"));
    server.send("POST /v1/requests/tag", &[], b"x");
    assert!(server.submission().deadline <= Span::from_secs(2));
}

#[test]
fn connection_serves_one_request_after_another() {
    let server = TestServer::new();
    let mut stream = server.connect();
    for _ in 0..3 {
        stream.write_all(&request(KEY, CHECK, &[], b"again")).unwrap();
        assert_eq!(read(&mut stream).status, 200);
    }
}

#[test]
fn expect_100_continue_is_answered() {
    let server = TestServer::new();
    let mut stream = server.connect();
    let whole = request(KEY, CHECK, &[("Expect", "100-continue")], b"edge");
    let (head, body) = whole.split_at(whole.len() - 4);
    stream.write_all(head).unwrap();
    assert_eq!(read(&mut stream).status, 100);
    stream.write_all(body).unwrap();
    assert_eq!(read(&mut stream).status, 200);
    assert_eq!(server.submission().tasks[0].body, &b"edge"[..]);
}

#[test]
fn closed_connection_abandons_the_wait() {
    let server = TestServer::new();
    server.hold();
    let mut stream = server.connect();
    stream.write_all(&request(KEY, CHECK, &[], b"x")).unwrap();
    server.submission();
    drop(stream);
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Abandoned));
}

#[test]
fn waiters_are_limited_and_counted_down() {
    let server = TestServer::with(Options { waiters: 1, ..Options::default() });
    server.hold();
    let mut first = server.connect();
    first.write_all(&request(KEY, CHECK, &[], b"x")).unwrap();
    server.submission();

    let refused = server.send(CHECK, &[], b"x");
    assert_eq!(refused.problem(), (503, "too-many-waiters".into(), "not-run".into()));
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(refused.json()["retry_after_ms"], 1_000);

    drop(first);
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Abandoned));
    server.answer(Answer::Complete(vec![output(200, "text/plain", b"")]));
    let mut status = 503;
    while status == 503 {
        status = server.send(CHECK, &[], b"x").status;
    }
    assert_eq!(status, 200);
}

#[test]
fn stop_answers_what_is_in_progress() {
    let server = TestServer::new();
    server.hold();
    let mut idle = server.connect();
    let mut busy = server.connect();
    busy.write_all(&request(KEY, CHECK, &[], b"x")).unwrap();
    server.submission();
    std::thread::scope(|scope| {
        let stopped = scope.spawn(|| smol::block_on(server.server.stop()));
        assert_eq!(idle.read(&mut [0]).unwrap(), 0, "idle connections are closed first");
        server.release(Answer::Complete(vec![output(200, "text/plain", b"cut")]));
        let response = read(&mut busy);
        assert_eq!((response.status, response.text()), (200, "cut"));
        assert_eq!(response.header("connection"), Some("close"));
        stopped.join().unwrap();
    });
    assert!(TcpStream::connect(server.address()).is_err());
}
