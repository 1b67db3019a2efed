//! Connection pools: reuse, limits, idle timeouts, and replacement of dead connections.

mod common;

use common::{TIMEOUT, call, client, executor, output, until};
use endpoint::{
    Call, Loss, Reply, Transport,
    http::{Client, Options},
};
use site::unit::Span;
use smol::block_on;
use standin::{Executor, Faults, executor, fault::Silence, ledger::Step};

/// Options that detect a dead connection quickly.
fn quick_detection() -> Options {
    Options {
        silence: Span::from_millis(30),
        give_up: Span::from_millis(150),
        ..Options::default()
    }
}

fn silent(half: Silence) -> Faults {
    Faults { silent: Some(half), ..Faults::default() }
}

/// Runs calls concurrently.
async fn call_all(client: &Client, calls: Vec<Call>) -> Vec<Reply> {
    let executor = smol::Executor::new();
    let tasks: Vec<_> = calls.into_iter().map(|call| executor.spawn(client.call(call))).collect();
    let collect = async {
        let mut replies = Vec::new();
        for task in tasks {
            replies.push(task.await.reply);
        }
        replies
    };
    executor.run(collect).await
}

/// Opens two connections and leaves them idle.
async fn open_two(client: &Client, executor: &Executor) {
    let calls = (0..2).map(|_| call(executor.address(), r#"{"ms": 30}"#)).collect();
    call_all(client, calls).await.into_iter().for_each(|reply| drop(output(reply)));
}

#[test]
fn a_connection_is_reused() {
    let options = executor::Options { connections: 1, ..executor::Options::default() };
    block_on(async {
        let executor = executor(options);
        let client = client(Options::default());
        for _ in 0..20 {
            output(client.call(call(executor.address(), r#"{"ms": 0}"#)).await.reply);
        }
    });
}

#[test]
fn the_number_of_connections_is_limited() {
    let options = executor::Options { connections: 4, ..executor::Options::default() };
    block_on(async {
        let executor = executor(options);
        let client = client(Options::default());
        let calls = (0..40).map(|_| call(executor.address(), r#"{"ms": 5}"#)).collect();
        call_all(&client, calls).await.into_iter().for_each(|reply| drop(output(reply)));
        assert!(executor.ledger().peak("executor") <= 4);
        assert_eq!(executor.ledger().count(Step::End), 40);

        let held = (0..4).map(|_| call(executor.address(), r#"{"ms": 60000}"#)).collect();
        let held = async {
            call_all(&client, held).await;
            false
        };
        let started = executor.ledger().wait(Step::Start, 44, TIMEOUT);
        assert!(smol::future::or(started, held).await);
    });
}

#[test]
fn an_idle_connection_is_closed() {
    let options = Options { idle_limit: Span::from_millis(40), ..Options::default() };
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(options);
        output(client.call(call(executor.address(), "")).await.reply);
        assert_eq!(executor.connections(), 1);
        assert!(until(|| executor.connections() == 0).await);
    });
}

#[test]
fn a_dead_connection_is_distinguished_from_a_dead_endpoint() {
    for half in [Silence::Requests, Silence::Answers] {
        block_on(async {
            let executor = executor(executor::Options::default());
            let client = client(quick_detection());
            open_two(&client, &executor).await;
            executor.set_faults(silent(half));
            let report = client.call(call(executor.address(), "")).await;
            assert_eq!(report.reply, Reply::Lost(Loss::SilentConnection), "{half:?}");
            // The other connection, which was also open, is retired as well.
            output(client.call(call(executor.address(), "")).await.reply);
            let ran = if half == Silence::Answers { 4 } else { 3 };
            assert_eq!(executor.ledger().count(Step::End), ran);
        });
    }
}

#[test]
fn a_dead_connection_is_given_up_if_the_endpoint_does_not_report_attempts() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(quick_detection());
        open_two(&client, &executor).await;
        executor.set_faults(Faults { plain_health: true, ..silent(Silence::Requests) });
        let report = client.call(call(executor.address(), "")).await;
        assert_eq!(report.reply, Reply::Lost(Loss::SilentConnection));
        assert!(report.elapsed >= quick_detection().give_up);
    });
}

#[test]
fn a_long_task_is_not_mistaken_for_a_dead_connection() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let body = r#"{"ms": 600}"#;
        let report = client(quick_detection()).call(call(executor.address(), body)).await;
        output(report.reply);
        assert_eq!(executor.ledger().count(Step::Start), 1);
    });
}

#[test]
fn a_task_completes_on_an_endpoint_that_accepts_no_connections() {
    // Health requests time out several times while the task runs.
    let options = Options { control_timeout: Span::from_millis(20), ..quick_detection() };
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(options);
        let held = client.call(call(executor.address(), r#"{"ms": 600}"#));
        let leave = async {
            assert!(executor.ledger().wait(Step::Start, 1, TIMEOUT).await);
            executor.drain().await;
        };
        let (report, ()) = smol::future::zip(held, leave).await;
        output(report.reply);
    });
}
