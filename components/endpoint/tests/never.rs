//! An executor's report that an attempt never runs is believed.

mod common;

use common::{call, client, local};
use endpoint::{Refusal, Reply, Transport, http::Options};
use site::unit::Span;
use smol::{
    block_on,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::net::SocketAddr;

/// Answers requests for its health, and reads all others without answering.
async fn serve(mut stream: TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let Ok(count @ 1..) = stream.read(&mut buffer).await else { return };
        request.extend_from_slice(&buffer[..count]);
        if request.starts_with(b"GET /healthz") && request.ends_with(b"\r\n\r\n") {
            request.clear();
            let answer: &[u8] =
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nPrimrosestep-Attempt-State: never\r\n\r\n";
            stream.write_all(answer).await.unwrap();
        }
    }
}

/// Starts an executor that says of every attempt that it never runs.
async fn executor() -> SocketAddr {
    let listener = TcpListener::bind(local()).await.unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            smol::spawn(serve(stream)).detach();
        }
    })
    .detach();
    address
}

#[test]
fn an_attempt_that_never_runs_at_its_executor_is_not_lost() {
    block_on(async {
        let options = Options { silence: Span::from_millis(30), ..Options::default() };
        let report = client(options).call(call(executor().await, "")).await;
        let expected = Reply::Refused { reason: Refusal::Other, retry_after: None };
        assert_eq!(report.reply, expected);
    });
}
