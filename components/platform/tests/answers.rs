//! Responses that a correct gateway does not send.

mod common;

use platform::{
    Error, Mirror, Store,
    gateway::{Client, Options},
    store::{Consistency, Revision},
};
use smol::block_on;
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpListener},
    sync::Arc,
    thread,
};

/// Returns a client of a gateway that sends the same response to every call.
fn gateway(answer: &'static str) -> Client {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4 << 10];
            let head = stream.read(&mut request).unwrap();
            if String::from_utf8_lossy(&request[..head]).to_lowercase().contains("100-continue") {
                stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").unwrap();
                let _ = stream.read(&mut request).unwrap();
            }
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    Client::new(Options::new(vec![address]))
}

async fn read(answer: &'static str) -> Result<(), Error> {
    gateway(answer).range(common::one("/x"), Consistency::Linearizable).await.map(drop)
}

#[test]
fn unregistered_http_statuses_are_errors() {
    block_on(async {
        for answer in [
            "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 299 Odd\r\nContent-Length: 0\r\n\r\n",
            "\r\nHTTP/1.0 999 Odd\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\nContent-Length: 0\r\n\r\n",
        ] {
            assert_eq!(read(answer).await, Err(Error::Malformed), "{answer:?}");
        }
        assert_eq!(read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").await, Ok(()));
    });
}

#[test]
fn a_watch_after_the_largest_revision_does_not_overflow() {
    assert_eq!(Revision(u64::MAX).next(), Revision(u64::MAX));
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n\
                  {\"header\":{\"revision\":\"18446744073709551615\"}}";
    block_on(async {
        let store = Arc::new(gateway(answer));
        let mut mirror = Mirror::new(store, common::one("/x"), |_, _| Some(()));
        assert!(mirror.next().await.unwrap().is_empty());
        assert!(mirror.next().await.is_err());
    });
}
