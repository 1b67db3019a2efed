//! Routes of jobs.

mod common;

use common::{BackendEvent, ID, KEY, OTHER_KEY, TestServer, failed, output};
use dispatch::action::Status;
use serde_json::json;
use site::{
    id::ServiceId,
    submission::{Answer, Kind, MAX_TASKS, Outcome, Reason},
    unit::{Memory, Span},
};

const JOBS: &str = "POST /v1/jobs";

fn job(tasks: usize) -> Vec<u8> {
    let tasks = vec![json!({ "body": { "n": 1 } }); tasks];
    json!({ "service": "check", "tasks": tasks }).to_string().into_bytes()
}

#[test]
fn tasks_reach_the_submission() {
    let server = TestServer::new();
    let body = json!({
        "service": "check",
        "crew": "fitters",
        "id": ID,
        "repeatable": false,
        "deadline": "3s",
        "tasks": [
            { "body": { "edge": [1, 2] } },
            { "body": "plain" },
            { "body": "AP8=", "encoding": "base64", "content_type": "model/step" },
            { "body": "quoted", "content_type": "application/json" },
            { "body": null, "needs": { "slots": 1, "cores": "1500m", "memory": "64MiB",
              "accelerators": 0 }, "run_time": "40ms" },
        ],
    });
    assert_eq!(server.send(JOBS, &[], body.to_string().as_bytes()).status, 200);
    let submission = server.submission();
    assert_eq!(submission.id.to_string(), ID);
    assert_eq!(submission.kind, Kind::Job);
    assert_eq!(submission.service, ServiceId::of("check"));
    assert!(!submission.repeatable);
    assert!(submission.deadline <= Span::from_secs(3));
    let tasks: Vec<_> =
        submission.tasks.iter().map(|t| (t.body.as_ref(), t.content_type.as_str())).collect();
    assert_eq!(
        tasks,
        [
            (&br#"{"edge":[1,2]}"#[..], "application/json"),
            (&b"plain"[..], "text/plain; charset=utf-8"),
            (&b"\0\xff"[..], "model/step"),
            (&br#""quoted""#[..], "application/json"),
            (&b"null"[..], "application/json"),
        ]
    );
    assert_eq!(submission.tasks[4].needs.memory, Memory(64 << 20));
    assert_eq!(submission.tasks[4].run_time, Span::from_millis(40));
}

#[test]
fn answer_holds_every_output() {
    let server = TestServer::new();
    server.answer(Answer::Complete(vec![
        output(200, "application/json", br#"{"fits": true}"#),
        output(200, "image/png", b"\0\xff"),
        output(200, "application/json", b"broken"),
    ]));
    let response = server.send(JOBS, &[("Primrosestep-Id", ID)], &job(3));
    assert_eq!(response.header("primrosestep-id"), Some(ID));
    assert_eq!(
        response.json(),
        json!({
            "id": ID,
            "outcome": "complete",
            "outputs": [
                { "status": 200, "content_type": "application/json", "body": { "fits": true } },
                { "status": 200, "content_type": "image/png", "body": "AP8=",
                  "encoding": "base64" },
                { "status": 200, "content_type": "application/json", "body": "YnJva2Vu",
                  "encoding": "base64" },
            ],
        })
    );
}

#[test]
fn largest_job_is_accepted() {
    let server = TestServer::new();
    assert_eq!(server.send(JOBS, &[], &job(MAX_TASKS)).status, 200);
    assert_eq!(server.submission().tasks.len(), MAX_TASKS);
}

#[test]
fn failure_is_a_problem_without_outputs() {
    let server = TestServer::new();
    server.answer(failed(Outcome::RanAndFailed, Reason::Endpoint, None));
    let response = server.send(JOBS, &[], &job(2));
    assert_eq!(response.problem(), (502, "endpoint".into(), "ran-and-failed".into()));
    assert!(response.json().get("outputs").is_none());
}

#[test]
fn job_can_be_submitted_without_waiting() {
    let server = TestServer::new();
    let response = server.send("POST /v1/jobs?wait=false", &[("Primrosestep-Id", ID)], &job(1));
    assert_eq!(response.status, 202);
    assert_eq!(response.header("location"), Some(format!("/v1/jobs/{ID}").as_str()));
    assert!(matches!(server.seen.recv().unwrap(), BackendEvent::Begun(_)));
}

#[test]
fn status_reports_progress() {
    let server = TestServer::new();
    *server.fake.status.lock() = Some(Status { tasks: 9, done: 4, finished: false });
    let response = server.send(&format!("GET /v1/jobs/{ID}"), &[], b"");
    let wanted = json!({ "id": ID, "tasks": 9, "done": 4, "finished": false });
    assert_eq!(response.json(), wanted);
}

#[test]
fn answer_is_fetched_once_it_is_ready() {
    let server = TestServer::new();
    server.hold();
    let line = format!("GET /v1/jobs/{ID}/answer?wait=5s");
    let pending = server.send(&line, &[], b"");
    assert_eq!((pending.status, &pending.json()["outcome"]), (202, &json!("pending")));
    server.answer(Answer::Complete(vec![output(200, "application/json", b"1")]));
    assert_eq!(server.send(&line, &[], b"").json()["outputs"][0]["body"], 1);
}

#[test]
fn job_of_another_firm_is_unknown() {
    let server = TestServer::new();
    *server.fake.status.lock() = Some(Status { tasks: 9, done: 4, finished: false });
    for line in [format!("GET /v1/jobs/{ID}"), format!("GET /v1/jobs/{ID}/answer")] {
        let response = server.send_as(OTHER_KEY, &line, &[], b"");
        assert_eq!(response.problem(), (404, "unknown".into(), "may-have-run".into()), "{line}");
    }
}

#[test]
fn cancelled_job_is_reported_as_success() {
    let server = TestServer::new();
    let line = format!("DELETE /v1/jobs/{ID}");
    server.answer(failed(Outcome::NotRun, Reason::Cancelled, None));
    let response = server.send(&line, &[], b"");
    let wanted = json!({ "id": ID, "outcome": "not-run", "reason": "cancelled" });
    assert_eq!((response.status, response.json()), (200, wanted));
    server.answer(Answer::Complete(vec![output(200, "application/json", b"1")]));
    assert_eq!(server.send_as(KEY, &line, &[], b"").json()["outcome"], "complete");
}
