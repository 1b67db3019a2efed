//! The executor's stand-in limits tasks to its slots, records each step in the ledger, and is
//! controlled over HTTP.

use serde_json::{Value, json};
use smol::block_on;
use standin::{
    Executor, Faults, Ledger,
    executor::Options,
    ledger::{Record, Step},
};
use std::{net::SocketAddr, time::Duration};
use trillium_client::{Client, Conn, KnownHeaderName, Status};
use trillium_smol::ClientConfig;

const TIMEOUT: Duration = Duration::from_secs(20);

fn spawn(name: &str, slots: usize, ledger: &Ledger) -> Executor {
    let options = Options { name: name.to_owned(), slots, ..Options::default() };
    Executor::spawn(SocketAddr::from(([127, 0, 0, 1], 0)), options, ledger.clone()).unwrap()
}

fn client() -> Client {
    Client::new(ClientConfig::default())
}

/// Runs a task and returns the response with its body unread.
async fn run(executor: &Executor, task: &str, body: Value) -> Conn {
    client()
        .post(format!("http://{}/check", executor.address()))
        .with_request_header("Primrosestep-Task", task.to_owned())
        .with_request_header("Primrosestep-Attempt", format!("1-{task}"))
        .with_body(body.to_string())
        .await
        .unwrap()
}

async fn get(executor: &Executor, path: &str) -> Value {
    let mut conn = client().get(format!("http://{}{path}", executor.address())).await.unwrap();
    assert_eq!(conn.status(), Some(Status::Ok));
    let text = conn.response_body().read_string().await.unwrap();
    serde_json::from_str(&text).unwrap()
}

fn steps(ledger: &Ledger) -> Vec<(String, Step)> {
    ledger.records().into_iter().map(|record| (record.task, record.step)).collect()
}

#[test]
fn every_start_end_and_refusal_is_recorded() {
    block_on(async {
        let ledger = Ledger::default();
        let executor = spawn("one", 1, &ledger);
        let first = run(&executor, "1", json!({"ms": 300}));
        let second = async {
            assert!(ledger.wait(Step::Start, 1, TIMEOUT).await);
            run(&executor, "2", json!({})).await
        };
        let (first, second) = smol::future::zip(first, second).await;
        assert_eq!(first.status(), Some(Status::Ok));
        assert_eq!(second.status(), Some(Status::ServiceUnavailable));
        let headers = second.response_headers();
        assert_eq!(headers.get_str("Primrosestep-Outcome"), Some("not-run"));
        assert_eq!(headers.get_str("Primrosestep-Refusal"), Some("busy"));
        assert!(headers.has_header(KnownHeaderName::RetryAfter));
        let expected = [("1", Step::Start), ("2", Step::Refusal), ("1", Step::End)];
        assert_eq!(steps(&ledger), expected.map(|(task, step)| (task.to_owned(), step)));
    });
}

#[test]
fn no_more_tasks_run_than_slots() {
    block_on(async {
        let ledger = Ledger::default();
        let executor = spawn("three", 3, &ledger);
        let pool = smol::Executor::new();
        let run = async |task: u32| {
            drop(run(&executor, &task.to_string(), json!({"ms": 20})).await);
        };
        let tasks: Vec<_> = (0..12).map(|task| pool.spawn(run(task))).collect();
        pool.run(async {
            for task in tasks {
                task.await;
            }
        })
        .await;
        assert!(ledger.peak("three") <= 3);
        assert_eq!(ledger.count(Step::Start) + ledger.count(Step::Refusal), 12);
        assert_eq!(ledger.count(Step::Start), ledger.count(Step::End));
    });
}

#[test]
fn a_shared_ledger_shows_repeated_tasks() {
    block_on(async {
        let ledger = Ledger::default();
        let (first, second) = (spawn("first", 1, &ledger), spawn("second", 1, &ledger));
        for (executor, task) in [(&first, "7"), (&second, "7"), (&second, "8")] {
            let response = run(executor, task, json!({"ms": 0})).await;
            assert_eq!(response.status(), Some(Status::Ok));
        }
        assert_eq!(ledger.repeated(), ["7"]);
        assert_eq!(ledger.starts()["8"], 1);

        second.set_faults(Faults { detect_duplicates: true, ..Faults::default() });
        let repeated = run(&second, "8", json!({"ms": 0})).await;
        assert_eq!(repeated.status(), Some(Status::Conflict));
        assert_eq!(ledger.starts()["8"], 1);
        assert_eq!(ledger.count(Step::Repeat), 1);
    });
}

#[test]
fn faults_and_ledger_are_accessible_over_http() {
    block_on(async {
        let executor = spawn("far", 1, &Ledger::default());
        let faults = format!("http://{}/faults", executor.address());
        let set = |body: &'static str| client().post(faults.clone()).with_body(body);
        assert_eq!(set(r#"{"fail_next": 1}"#).await.unwrap().status(), Some(Status::Ok));
        assert_eq!(get(&executor, "/faults").await["fail_next"], 1);
        let failed = run(&executor, "1", json!({"ms": 60_000})).await;
        assert_eq!(failed.status(), Some(Status::InternalServerError));
        assert_eq!(run(&executor, "2", json!({})).await.status(), Some(Status::Ok));

        assert_eq!(set(r#"{"refuse": true}"#).await.unwrap().status(), Some(Status::Ok));
        let refused = run(&executor, "3", json!({})).await;
        assert_eq!(refused.status(), Some(Status::ServiceUnavailable));
        let unknown = set(r#"{"refuze": true}"#).await.unwrap();
        assert_eq!(unknown.status(), Some(Status::BadRequest));

        let records: Vec<Record> = serde_json::from_value(get(&executor, "/ledger").await).unwrap();
        assert_eq!(records, executor.ledger().records());
        assert_eq!(records.len(), 5);
    });
}

#[test]
fn a_killed_executor_listens_again_after_dead_for() {
    block_on(async {
        let ledger = Ledger::default();
        let executor = spawn("ill", 1, &ledger);
        let health = format!("http://{}/healthz", executor.address());
        let mut task = client().post(health.clone()).with_body(r#"{"ms": 60000}"#);
        let kill = async {
            assert!(ledger.wait(Step::Start, 1, TIMEOUT).await);
            executor.set_faults(Faults { dead_for: Some(20), ..Faults::default() });
            assert!(ledger.wait(Step::Stop, 1, TIMEOUT).await);
        };
        let (response, ()) = smol::future::zip(async { (&mut task).await }, kill).await;
        assert!(response.is_err());
        while client().get(health.clone()).await.is_err() {}
        assert_eq!(run(&executor, "1", json!({})).await.status(), Some(Status::Ok));
    });
}
