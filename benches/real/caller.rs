//! A minimal caller with one connection. It does little work itself, so that it adds little to what
//! it measures.

use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use std::net::SocketAddr;

/// Read buffer size in bytes, enough for a typical response.
const READ_SIZE: usize = 64 << 10;

/// A caller with a persistent connection.
pub(crate) struct Caller {
    stream: TcpStream,
    read: Vec<u8>,
}

/// A complete HTTP response.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }
}

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).await.expect("the process listens");
        stream.set_nodelay(true).expect("the socket is open");
        Caller { stream, read: Vec::new() }
    }

    /// Sends a request and reads its response.
    pub(crate) async fn exchange(&mut self, request: &[u8]) -> Response {
        self.send(request).await;
        let end = loop {
            if let Some(end) = self.read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill().await;
        };
        let head = String::from_utf8(self.read[..end].to_vec()).expect("a head is text");
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let mut response = Response { status, head, body: Vec::new() };
        let length = response.header("content-length").and_then(|length| length.parse().ok());
        let length: usize = length.expect("responses have a length");
        while self.read.len() < end + length {
            self.fill().await;
        }
        response.body = self.read[end..end + length].to_vec();
        self.read.drain(..end + length);
        response
    }

    /// Sends a request without reading its response.
    pub(crate) async fn send(&mut self, request: &[u8]) {
        self.stream.write_all(request).await.expect("the connection is open");
    }

    async fn fill(&mut self) {
        let start = self.read.len();
        self.read.resize(start + READ_SIZE, 0);
        let count = self.stream.read(&mut self.read[start..]).await.expect("it is open");
        assert!(count > 0, "the connection was closed");
        self.read.truncate(start + count);
    }
}

/// Returns the bytes of a POST request.
pub(crate) fn post(path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("POST {path} HTTP/1.1\r\nHost: bench\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    let length = body.len();
    text += &format!("Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}");
    text.into_bytes()
}
