//! What the errors of plain requests say about the request.

use bytes::Bytes;
use endpoint::http::{Options, RawClient, RawRequest, RawResponse, RequestError};
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use smol::{
    Timer, block_on,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use trillium_client::Method;

/// Requests by path, with the number of times that the server received them.
type Received = Arc<Mutex<FxHashMap<String, u32>>>;

/// How the server breaks off.
#[derive(Clone, Copy, Debug)]
enum Break {
    /// It closes each connection before it reads anything.
    AtOnce,
    /// It reads requests and closes the connection without a response.
    AfterRequest,
    /// It closes the connection some time after each response.
    AfterResponse,
    /// It closes the connection in the middle of the response.
    WithinResponse,
    /// It never responds.
    Never,
}

async fn serve(listener: TcpListener, how: Break, received: Received) {
    while let Ok((stream, _)) = listener.accept().await {
        smol::spawn(converse(stream, how, received.clone())).detach();
    }
}

/// Handles the requests of one connection, which have no bodies.
async fn converse(mut stream: TcpStream, how: Break, received: Received) {
    let mut buffer = [0; 1_024];
    let mut request = Vec::new();
    if matches!(how, Break::AtOnce) {
        return;
    }
    loop {
        let Ok(count @ 1..) = stream.read(&mut buffer).await else { return };
        request.extend_from_slice(&buffer[..count]);
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        let head = String::from_utf8(std::mem::take(&mut request)).expect("a head");
        let path = head.split(' ').nth(1).expect("a path").to_owned();
        let number: u64 = path.trim_start_matches('/').parse().expect("a number");
        *received.lock().entry(path).or_default() += 1;
        let response: &[u8] = match how {
            Break::AtOnce | Break::AfterRequest => return,
            Break::Never => continue,
            Break::WithinResponse => b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal",
            Break::AfterResponse => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        };
        if stream.write_all(response).await.is_err() || matches!(how, Break::WithinResponse) {
            return;
        }
        if number.is_multiple_of(3) {
            Timer::after(Duration::from_micros(number % 40 * 10)).await;
            return;
        }
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn request(number: u64, time_limit: Duration) -> RawRequest {
    RawRequest {
        method: Method::Post,
        path: format!("/{number}"),
        headers: Vec::new(),
        body: Bytes::new(),
        time_limit,
    }
}

/// Checks the result of request `number` against what the server received.
fn check(how: Break, number: u64, result: &Result<RawResponse, RequestError>, received: &Received) {
    let count = received.lock().get(&format!("/{number}")).copied().unwrap_or_default();
    match result {
        Ok(_) => assert_eq!(count, 1, "{how:?}: /{number}"),
        Err(RequestError::Unsent(_)) => assert_eq!(count, 0, "{how:?}: /{number}"),
        Err(_) => assert!(count <= 1, "{how:?}: /{number} was received {count} times"),
    }
}

/// The caller of a request that was not sent sends it elsewhere, so the server must not have it.
#[test]
fn no_request_is_received_twice() {
    block_on(async {
        for how in [Break::AtOnce, Break::AfterRequest, Break::AfterResponse, Break::WithinResponse]
        {
            let (listener, address) = listen().await;
            let received = Received::default();
            let _server = smol::spawn(serve(listener, how, received.clone()));
            let client = RawClient::new(4, Options::default());
            for number in 0..600 {
                let result = client.send(address, request(number, Duration::from_secs(5))).await;
                check(how, number, &result, &received);
            }
        }
    });
}

/// Requests that wait for a connection until their time is over were not sent.
#[test]
fn a_request_without_a_connection_is_not_received_later() {
    block_on(async {
        let (listener, address) = listen().await;
        let received = Received::default();
        let _server = smol::spawn(serve(listener, Break::Never, received.clone()));
        let client = Arc::new(RawClient::new(4, Options::default()));
        let send = |number| {
            let client = client.clone();
            // The first ones end earlier, and release their connections to the others.
            let limit = Duration::from_millis(100 + number);
            smol::spawn(async move { client.send(address, request(number, limit)).await })
        };
        let mut results = Vec::new();
        for task in (0..40).map(send).collect::<Vec<_>>() {
            results.push(task.await);
        }
        Timer::after(Duration::from_millis(100)).await;
        for (number, result) in results.iter().enumerate() {
            check(Break::Never, number as u64, result, &received);
        }
        let unsent = |result: &&Result<_, _>| matches!(result, Err(RequestError::Unsent(_)));
        assert!(results.iter().filter(unsent).count() > 0);
        assert!(received.lock().len() >= 4);
    });
}

#[test]
fn a_request_to_a_closed_port_is_unsent() {
    block_on(async {
        let (listener, address) = listen().await;
        drop(listener);
        let client = RawClient::new(4, Options::default());
        let result = client.send(address, request(1, Duration::from_secs(5))).await;
        assert!(matches!(result, Err(RequestError::Unsent(_))), "{result:?}");
    });
}
