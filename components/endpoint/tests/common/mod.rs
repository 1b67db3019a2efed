//! Helpers of the transport's tests.

#![allow(dead_code, reason = "each test file uses a part")]

use endpoint::{
    Call, Reply,
    http::{Client, Options},
};
use site::{
    id::{AttemptId, Incarnation, SubmissionId, TaskId},
    service::Place,
    submission::Output,
    unit::{Cores, Memory, Resources, Span},
};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use standin::{Executor, Ledger, Worker, executor, worker};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Timeout of everything that a test waits for.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

const INCARNATION: Incarnation = Incarnation(0xabc);

pub(crate) fn client(options: Options) -> Client {
    Client::new(INCARNATION, options)
}

pub(crate) fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn executor(options: executor::Options) -> Executor {
    Executor::spawn(local(), options, Ledger::default()).unwrap()
}

pub(crate) fn worker(options: worker::Options) -> Worker {
    Worker::spawn(local(), options, Ledger::default()).unwrap()
}

/// Returns a call of a new attempt to an executor.
pub(crate) fn call(address: SocketAddr, body: &str) -> Call {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let attempt = AttemptId(NEXT.fetch_add(1, Ordering::Relaxed));
    let index = attempt.0 as u16;
    Call {
        attempt,
        task: TaskId { submission: SubmissionId::default(), index },
        address,
        place: Place::Executors,
        service: "cutout check".into(),
        content_type: "application/json".into(),
        body: body.to_owned().into(),
        needs: Resources { cores: Cores(1_500), memory: Memory(64 << 20), ..Resources::SLOT },
        time_limit: Span::from_secs(20),
        body_limit: Memory(1 << 20),
        connections: 4,
    }
}

/// Returns a call of a new attempt to a worker.
pub(crate) fn worker_call(address: SocketAddr, body: &str) -> Call {
    Call { place: Place::Workers, ..call(address, body) }
}

pub(crate) fn output(reply: Reply) -> Output {
    match reply {
        Reply::Done(output) => output,
        other => panic!("not done: {other:?}"),
    }
}

/// Starts an endpoint that responds to the first request with these bytes and closes the
/// connection.
pub(crate) async fn raw(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(local()).await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"}") {
            let mut buffer = [0; 1024];
            let count = stream.read(&mut buffer).await.unwrap();
            request.extend_from_slice(&buffer[..count]);
        }
        stream.write_all(answer).await.unwrap();
    })
    .detach();
    address
}

/// Waits until `reached` returns true; returns false after the timeout.
pub(crate) async fn until(reached: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !reached() {
        if start.elapsed() > TIMEOUT {
            return false;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
    true
}
