//! Classification of the ends of calls to executors.

mod common;

use common::{TIMEOUT, call, client, executor, output, raw};
use endpoint::{Call, Loss, Probe, Refusal, Reply, Transport, Unsent, http::Options};
use serde_json::Value;
use site::unit::{Memory, Span};
use smol::block_on;
use standin::{Faults, executor, ledger::Step};

fn one_slot() -> executor::Options {
    executor::Options { slots: 1, ..executor::Options::default() }
}

/// A task that runs longer than a test.
const LONG_TASK: &str = r#"{"ms": 60000}"#;

#[test]
fn a_complete_response_is_done() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let call = call(executor.address(), r#"{"ms": 1, "echo": "edge profile"}"#);
        let report = client(Options::default()).call(call.clone()).await;
        assert_eq!(report.attempt, call.attempt);
        assert!(!report.leaving);
        let output = output(report.reply);
        assert_eq!(output.status, 200);
        assert_eq!(output.content_type, "application/json");
        let body: Value = serde_json::from_slice(&output.body).unwrap();
        assert_eq!(body["echo"], "edge profile");
        assert_eq!(body["task"], call.task.to_string());
        assert_eq!(body["attempt"], format!("abc-{:x}", call.attempt.0));
    });
}

#[test]
fn large_bodies_are_complete() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let echo = "q".repeat(900_000);
        let call = call(executor.address(), &format!(r#"{{"ms": 0, "echo": "{echo}"}}"#));
        let report = client(Options::default()).call(call).await;
        let body: Value = serde_json::from_slice(&output(report.reply).body).unwrap();
        assert_eq!(body["echo"], echo);
    });
}

#[test]
fn a_status_below_500_is_done_and_others_are_failed() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(Options::default());
        let ask = |body: &str| client.call(call(executor.address(), body));
        assert_eq!(output(ask(r#"{"ms": 0, "status": 404}"#).await.reply).status, 404);
        for status in [500, 503] {
            let body = format!(r#"{{"ms": 0, "status": {status}}}"#);
            match ask(&body).await.reply {
                Reply::Failed(output) => assert_eq!(output.status, status),
                other => panic!("{status} gave {other:?}"),
            }
        }
    });
}

#[test]
fn a_marked_refusal_has_not_run() {
    block_on(async {
        let executor = executor(one_slot());
        let client = client(Options::default());
        let held = client.call(call(executor.address(), LONG_TASK));
        let refused = async {
            assert!(executor.ledger().wait(Step::Start, 1, TIMEOUT).await);
            client.call(call(executor.address(), "")).await
        };
        let report = smol::future::or(refused, held).await;
        let retry_after = Some(Span::from_secs(1));
        assert_eq!(report.reply, Reply::Refused { reason: Refusal::Busy, retry_after });
        assert!(!report.reply.may_have_run());

        executor.set_faults(Faults { leaving: true, ..Faults::default() });
        let report = client.call(call(executor.address(), "")).await;
        assert!(report.leaving);
        assert_eq!(report.reply, Reply::Refused { reason: Refusal::Leaving, retry_after });
        assert_eq!(client.probe(executor.address()).await, Probe::Alive { leaving: true });
        assert_eq!(executor.ledger().count(Step::Refusal), 2);
    });
}

#[test]
fn a_refused_connection_is_not_sent() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(Options::default());
        output(client.call(call(executor.address(), "")).await.reply);
        executor.kill().await;
        let report = client.call(call(executor.address(), "")).await;
        assert_eq!(report.reply, Reply::NotSent(Unsent::ConnectRefused));
        let probe = client.probe(executor.address()).await;
        assert_eq!(probe, Probe::Unreachable(Unsent::ConnectRefused));
    });
}

#[test]
fn a_call_without_a_connection_is_not_sent() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(Options::default());
        let one = |body| Call { connections: 1, ..call(executor.address(), body) };
        let held = client.call(one(LONG_TASK));
        let waiting = async {
            assert!(executor.ledger().wait(Step::Start, 1, TIMEOUT).await);
            client.call(Call { time_limit: Span::from_millis(20), ..one("") }).await
        };
        let report = smol::future::or(waiting, held).await;
        assert_eq!(report.reply, Reply::NotSent(Unsent::NoConnection));
    });
}

#[test]
fn an_idle_connection_that_the_endpoint_closed_is_replaced() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(Options::default());
        for _ in 0..3 {
            output(client.call(call(executor.address(), "")).await.reply);
            executor.kill().await;
            executor.restart().unwrap();
        }
        assert_eq!(executor.ledger().count(Step::Start), 3);
    });
}

#[test]
fn a_request_without_a_complete_response_is_lost() {
    let drop_after_write = Faults { drop_after_write: true, ..Faults::default() };
    let truncate = Faults { truncate: true, ..Faults::default() };
    let malformed = Faults { malformed: true, ..Faults::default() };
    let cases = [
        (drop_after_write, Loss::Closed),
        (truncate, Loss::Truncated),
        (malformed, Loss::Malformed),
    ];
    block_on(async {
        for (faults, loss) in cases {
            let executor = executor(executor::Options::default());
            executor.set_faults(faults);
            let client = client(Options::default());
            let report = client.call(call(executor.address(), "")).await;
            assert_eq!(report.reply, Reply::Lost(loss), "{faults:?}");
            assert!(report.reply.may_have_run());
            assert_eq!(executor.ledger().count(Step::End), 1);
        }
    });
}

#[test]
fn attempts_are_lost_when_their_endpoint_dies() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let client = client(Options::default());
        let held = client.call(call(executor.address(), LONG_TASK));
        let death = async {
            assert!(executor.ledger().wait(Step::Start, 1, TIMEOUT).await);
            executor.kill().await;
        };
        let (report, ()) = smol::future::zip(held, death).await;
        assert_eq!(report.reply, Reply::Lost(Loss::Closed));
    });
}

#[test]
fn a_body_over_the_limit_is_lost() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let call = Call { body_limit: Memory(10), ..call(executor.address(), r#"{"ms": 0}"#) };
        let report = client(Options::default()).call(call).await;
        assert_eq!(report.reply, Reply::Lost(Loss::TooLarge));
    });
}

#[test]
fn a_request_that_runs_too_long_has_timed_out() {
    block_on(async {
        let executor = executor(executor::Options::default());
        let call =
            Call { time_limit: Span::from_millis(100), ..call(executor.address(), LONG_TASK) };
        let report = client(Options::default()).call(call).await;
        assert_eq!(report.reply, Reply::TimedOut);
        assert!(report.elapsed >= Span::from_millis(100));
    });
}

#[test]
fn raw_responses_are_complete_or_lost() {
    type Body = Result<&'static [u8], Reply>;
    let lost = |loss| Err(Reply::Lost(loss));
    let cases: [(&[u8], Body); 13] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nslab!", Ok(b"slab!")),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nslab!", Ok(b"slab!")),
        (b"HTTP/1.1 204 No Content\r\n\r\n", Ok(b"")),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslab\r\n1\r\n!\r\n0\r\n\r\n", Ok(b"slab!")),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslab\r\n1\r\n", lost(Loss::Truncated)),
        // The end of the body can't be distinguished from a truncation.
        (b"HTTP/1.1 200 OK\r\n\r\n0\r\n\r\n", lost(Loss::Malformed)),
        (b"HTTP/1.1 299 What\r\nContent-Length: 0\r\n\r\n", lost(Loss::Malformed)),
        (b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", lost(Loss::Malformed)),
        (b"HTTP/1.1 200 OK\r\nContent-Le", lost(Loss::Truncated)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nslab!", lost(Loss::Truncated)),
        (b"HTTP/1.1 200 OK\r\nPrimrosestep-Attempt: 1-1\r\nContent-Length: 5\r\n\r\nslab!", lost(Loss::Mismatch)),
        (b"HTTP/1.1 200 OK\r\nPrimrosestep-Attempt: ?\r\nContent-Length: 5\r\n\r\nslab!", lost(Loss::Mismatch)),
        (b"", lost(Loss::Closed)),
    ];
    block_on(async {
        for (bytes, expected) in cases {
            let call = call(raw(bytes).await, "{}");
            let found = match client(Options::default()).call(call).await.reply {
                Reply::Done(output) => Ok(output.body),
                other => Err(other),
            };
            let text = String::from_utf8_lossy(bytes);
            assert_eq!(found, expected.map(Into::into), "{text}");
        }
    });
}
