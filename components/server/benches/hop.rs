//! Measures the latency that the HTTP API adds to a request, compared with a plain proxy, and the
//! memory that a waiting caller uses.
//!
//! The HTTP API responds from a fake backend at once, so its row contains everything except the
//! decision and the endpoint. The proxy's row includes the endpoint; the bare row is the endpoint
//! alone.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{KEY, TestServer, request};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};
use trillium::{Conn, HttpConfig};
use trillium_client::{Client, KnownHeaderName};
use trillium_smol::{ClientConfig, async_net::TcpListener};

const ROUNDS: usize = 10;
const REQUESTS: usize = 2_000;
const WAITERS: usize = 2_000;
const LINE: &str = "POST /v1/requests/check";

fn main() {
    let server = TestServer::new();
    let bare = serve(answer);
    let proxy = proxy(bare);
    let targets = [("bare handler", bare), ("bare proxy", proxy), ("interface", server.address())];
    let mut times = targets.map(|_| Vec::with_capacity(ROUNDS * REQUESTS));
    for _ in 0..ROUNDS {
        for ((_, address), times) in targets.iter().zip(&mut times) {
            measure(*address, times);
        }
    }
    for ((name, _), times) in targets.iter().zip(&mut times) {
        times.sort();
        let at = |share: usize| times[times.len() * share / 100];
        println!("{name}: p50 {:?}, p99 {:?}", at(50), at(99));
    }
    drop(server);
    waiters();
}

async fn answer(mut conn: Conn) -> Conn {
    let _ = conn.request_body_string().await;
    conn.with_response_header(KnownHeaderName::Connection, "keep-alive").ok("cut")
}

fn serve(handler: impl trillium::Handler) -> SocketAddr {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let http = HttpConfig::default().with_response_buffer_len(4 << 10);
    trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(http)
        .with_prebound_server(listener)
        .spawn(handler);
    address
}

fn proxy(to: SocketAddr) -> SocketAddr {
    let client = Client::new(ClientConfig::new().with_nodelay(true)).with_default_pool();
    let client = Arc::new(client);
    serve(move |mut conn: Conn| {
        let client = client.clone();
        async move {
            let body = conn.request_body().await.read_bytes().await.unwrap();
            let mut onward = client.post(format!("http://{to}/")).with_body(body);
            (&mut onward).await.unwrap();
            let body = onward.response_body().read_bytes().await.unwrap();
            conn.ok(body)
        }
    })
}

fn measure(address: SocketAddr, times: &mut Vec<Duration>) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    let request = request(KEY, LINE, &[], b"a cutout of 600 by 480");
    let mut buffer = [0; 4096];
    for _ in 0..REQUESTS {
        let start = Instant::now();
        stream.write_all(&request).unwrap();
        // Small responses on loopback arrive in one read.
        let read = stream.read(&mut buffer).unwrap();
        times.push(start.elapsed());
        assert!(buffer[..read].starts_with(b"HTTP/1.1 200") && buffer[..read].ends_with(b"cut"));
    }
}

fn waiters() {
    let server = TestServer::new();
    server.hold();
    let request = request(KEY, LINE, &[], b"a cutout of 600 by 480");
    let before = resident();
    let streams: Vec<_> = (0..WAITERS)
        .map(|_| {
            let mut stream = server.connect();
            stream.write_all(&request).unwrap();
            server.submission();
            stream
        })
        .collect();
    let grown = resident() - before;
    println!("{} waiting callers: {grown} KiB resident", streams.len());
}

/// Returns the resident memory of this process in KiB.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
