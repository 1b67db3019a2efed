//! What endpoints say of an attempt whose connection is silent, and what follows from it.

mod common;

use common::{call, client, local, worker_call};
use endpoint::{Loss, Refusal, Reply, Transport, http::Options};
use site::unit::Span;
use smol::{
    block_on,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

fn refused() -> Reply {
    Reply::Refused { reason: Refusal::Other, retry_after: None }
}

fn quick_detection() -> Options {
    let silence = Span::from_millis(30);
    Options { silence, lease: Span::from_millis(90), ..Options::default() }
}

/// Answers health requests, renewals and stops with the state that `state` returns for them, and
/// reads tasks without answering.
async fn serve(mut stream: TcpStream, state: impl Fn(&str) -> &'static str) {
    let mut request = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let Ok(count @ 1..) = stream.read(&mut buffer).await else { return };
        request.extend_from_slice(&buffer[..count]);
        let Some(method) = ["GET", "POST /v1", "DELETE"]
            .into_iter()
            .find(|method| request.starts_with(method.as_bytes()))
        else {
            continue;
        };
        if request.ends_with(b"\r\n\r\n") {
            request.clear();
            let state = state(method);
            let body = format!(r#"{{"state": "{state}"}}"#);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\
                 Primrosestep-Attempt-State: {state}\r\n\r\n{body}",
                body.len(),
            );
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    }
}

/// Starts an endpoint whose tasks are silent.
async fn endpoint<S>(state: S) -> SocketAddr
where
    S: Fn(&str) -> &'static str + Clone + Send + 'static,
{
    let listener = TcpListener::bind(local()).await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            smol::spawn(serve(stream, state.clone())).detach();
        }
    })
    .detach();
    address
}

#[test]
fn an_attempt_that_never_runs_at_its_executor_is_not_lost() {
    block_on(async {
        let address = endpoint(|_| "never").await;
        let report = client(quick_detection()).call(call(address, "")).await;
        assert_eq!(report.reply, refused());
    });
}

#[test]
fn an_attempt_that_never_reached_its_worker_is_not_lost() {
    block_on(async {
        let state = |method: &str| if method == "DELETE" { "never" } else { "unknown" };
        let address = endpoint(state).await;
        let report = client(quick_detection()).call(worker_call(address, "")).await;
        assert_eq!(report.reply, refused());
    });
}

/// The next process at the worker's address does not know what ran there before.
#[test]
fn an_attempt_that_ran_before_its_worker_restarted_is_not_reported_as_not_run() {
    block_on(async {
        let renewals = Arc::new(AtomicUsize::new(0));
        let state = move |method: &str| match method {
            "DELETE" => "never",
            _ if renewals.fetch_add(1, Ordering::Relaxed) == 0 => "running",
            _ => "unknown",
        };
        let address = endpoint(state).await;
        let report = client(quick_detection()).call(worker_call(address, "")).await;
        assert_eq!(report.reply, Reply::Lost(Loss::SilentConnection));
    });
}

/// The next process at the executor's address refuses what it is asked about.
#[test]
fn an_attempt_that_ran_before_its_executor_restarted_is_not_reported_as_not_run() {
    block_on(async {
        let questions = Arc::new(AtomicUsize::new(0));
        let state = move |_: &str| match questions.fetch_add(1, Ordering::Relaxed) {
            0 => "running",
            _ => "never",
        };
        let address = endpoint(state).await;
        let report = client(quick_detection()).call(call(address, "")).await;
        assert_eq!(report.reply, Reply::Lost(Loss::SilentConnection));
    });
}
