//! Calls to workers: leases, stops, usage and repeated attempts.

mod common;

use common::{TIMEOUT, client, output, worker, worker_call};
use endpoint::{
    Call, Loss, Refusal, Reply, Stop, Transport,
    http::{Client, Options},
};
use serde_json::Value;
use site::unit::{Cores, Memory, Resources, Span};
use smol::{block_on, future};
use standin::{Faults, Worker, fault::Silence, ledger::Step, worker};
use std::time::Duration;

/// A task that runs until it is stopped.
const LONG_TASK: &str = r#"{"ms": 60000}"#;

/// Options with which leases are renewed every 200 ms.
fn quick_renewals() -> Options {
    Options { lease: Span::from_millis(600), silence: Span::from_millis(30), ..Options::default() }
}

fn frequent_usage() -> worker::Options {
    worker::Options { usage_interval: Duration::from_millis(5), ..worker::Options::default() }
}

/// Runs `act` concurrently with a call, once the worker has started its task.
async fn call_and<T>(
    client: &Client,
    worker: &Worker,
    call: &Call,
    act: impl Future<Output = T>,
) -> (Reply, T) {
    let act = async {
        assert!(worker.ledger().wait(Step::Start, 1, TIMEOUT).await);
        act.await
    };
    let (report, value) = future::zip(client.call(call.clone()), act).await;
    (report.reply, value)
}

#[test]
fn a_task_runs_as_long_as_its_lease_is_renewed() {
    block_on(async {
        let worker = worker(frequent_usage());
        let call = worker_call(worker.address(), r#"{"ms": 1500, "echo": "seam"}"#);
        let output = output(client(quick_renewals()).call(call).await.reply);
        let body: Value = serde_json::from_slice(&output.body).unwrap();
        assert_eq!(body["echo"], "seam");
        assert_eq!(worker.ledger().count(Step::Lapse), 0);
    });
}

#[test]
fn a_task_stops_when_its_lease_is_not_renewed() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        let call = worker_call(worker.address(), LONG_TASK);
        let started = worker.ledger().wait(Step::Start, 1, TIMEOUT);
        let abandoned = async {
            client.call(call).await;
            false
        };
        assert!(future::or(started, abandoned).await);
        assert!(worker.ledger().wait(Step::Lapse, 1, TIMEOUT).await);
    });
}

#[test]
fn a_repeated_attempt_does_not_run() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        let call = worker_call(worker.address(), r#"{"ms": 0}"#);
        output(client.call(call.clone()).await.reply);
        let again = client.call(call).await;
        assert_eq!(again.reply, Reply::Lost(Loss::Repeated));
        assert_eq!(worker.ledger().count(Step::Start), 1);
    });
}

#[test]
fn a_running_attempt_is_stopped() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        let call = worker_call(worker.address(), LONG_TASK);
        let stop = client.stop(worker.address(), call.attempt);
        let (reply, stop) = call_and(&client, &worker, &call, stop).await;
        assert_eq!(stop, Stop::Stopped);
        assert_eq!(reply, Reply::Lost(Loss::Stopped));
        assert_eq!(client.stop(worker.address(), call.attempt).await, Stop::Ended);
    });
}

#[test]
fn an_attempt_stopped_before_it_arrives_never_starts() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        let call = worker_call(worker.address(), LONG_TASK);
        assert_eq!(client.stop(worker.address(), call.attempt).await, Stop::NeverRuns);
        let reply = client.call(call).await.reply;
        assert!(matches!(reply, Reply::Refused { reason: Refusal::Other, .. }), "{reply:?}");
        assert_eq!(worker.ledger().count(Step::Start), 0);
    });
}

#[test]
fn a_stop_without_a_response_is_unknown() {
    block_on(async {
        let worker = worker(frequent_usage());
        worker.kill().await;
        let attempt = worker_call(worker.address(), "").attempt;
        assert_eq!(client(quick_renewals()).stop(worker.address(), attempt).await, Stop::Unknown);
    });
}

#[test]
fn a_task_that_does_not_fit_is_refused() {
    block_on(async {
        let worker = worker(frequent_usage());
        let needs = Resources { memory: Memory(33 << 30), ..Resources::default() };
        let call = Call { needs, ..worker_call(worker.address(), LONG_TASK) };
        let reply = client(quick_renewals()).call(call).await.reply;
        assert!(matches!(reply, Reply::Refused { reason: Refusal::Busy, .. }), "{reply:?}");
    });
}

#[test]
fn usage_is_reported_for_each_running_task() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        let body = r#"{"ms": 60000, "uses": {"cores": "700m", "memory": "10MiB"}}"#;
        let call = worker_call(worker.address(), body);
        let measured = async {
            loop {
                let usage = client.usage(worker.address()).await.unwrap();
                if let Some(task) = usage.tasks.first() {
                    return *task;
                }
            }
        };
        let act = async {
            let task = measured.await;
            client.stop(worker.address(), call.attempt).await;
            task
        };
        let (_, task) = call_and(&client, &worker, &call, act).await;
        assert_eq!(task.attempt.attempt, call.attempt);
        let uses =
            Resources { cores: Cores(700), memory: Memory(10 << 20), ..Resources::default() };
        assert_eq!(task.used, uses);
    });
}

#[test]
fn a_request_lost_on_a_dead_connection_has_not_run() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        output(client.call(worker_call(worker.address(), "")).await.reply);
        worker.set_faults(Faults { silent: Some(Silence::Requests), ..Faults::default() });
        let report = client.call(worker_call(worker.address(), "")).await;
        let expected = Reply::Refused { reason: Refusal::Other, retry_after: None };
        assert_eq!(report.reply, expected);
        output(client.call(worker_call(worker.address(), "")).await.reply);
        assert_eq!(worker.ledger().count(Step::Start), 2);
    });
}

#[test]
fn a_response_lost_on_a_dead_connection_is_lost() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        output(client.call(worker_call(worker.address(), "")).await.reply);
        worker.set_faults(Faults { silent: Some(Silence::Answers), ..Faults::default() });
        let report = client.call(worker_call(worker.address(), "")).await;
        assert_eq!(report.reply, Reply::Lost(Loss::SilentConnection));
        assert_eq!(worker.ledger().count(Step::End), 2);
    });
}

#[test]
fn leases_are_renewed_while_every_connection_for_tasks_is_in_use() {
    block_on(async {
        let worker = worker(frequent_usage());
        let client = client(quick_renewals());
        let one = || Call { connections: 1, ..worker_call(worker.address(), r#"{"ms": 900}"#) };
        let (first, second) = future::zip(client.call(one()), client.call(one())).await;
        output(first.reply);
        output(second.reply);
        assert_eq!(worker.ledger().peak("worker"), 1);
        // One connection for tasks and one for renewals.
        assert_eq!(worker.connections(), 2);
    });
}
