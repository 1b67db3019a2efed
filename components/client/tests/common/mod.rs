//! Fake entries that respond according to a script.
#![allow(dead_code, unreachable_pub, missing_docs)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{Receiver, Sender, channel},
};

/// Scripted reaction to a request.
#[derive(Clone, Debug)]
pub enum Reaction {
    /// Answer with status, headers and body.
    Answer(u16, String, String),
    /// Close the connection without an answer.
    Close,
    /// Keep the connection open without a response.
    Hang,
}

impl Reaction {
    pub fn complete(body: &str) -> Reaction {
        Reaction::Answer(200, "Primrosestep-Outcome: complete\r\n".into(), body.into())
    }

    pub fn pending() -> Reaction {
        Reaction::Answer(202, "Primrosestep-Outcome: pending\r\n".into(), "{}".into())
    }

    pub fn plain(status: u16, body: &str) -> Reaction {
        Reaction::Answer(status, String::new(), body.into())
    }

    pub fn problem(
        status: u16,
        reason: &str,
        outcome: &str,
        retry_after_ms: Option<u64>,
    ) -> Reaction {
        let body = serde_json::json!({
            "type": "about:blank", "title": "", "detail": reason, "status": status,
            "reason": reason, "outcome": outcome, "retry_after_ms": retry_after_ms,
        });
        Reaction::Answer(status, format!("Primrosestep-Outcome: {outcome}\r\n"), body.to_string())
    }
}

/// A request that an entry received.
#[derive(Debug)]
pub struct ReceivedRequest {
    pub line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        self.headers.iter().find(named).map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("primrosestep-id").unwrap()
    }

    pub fn is_first(&self) -> bool {
        self.header("primrosestep-first") == Some("true")
    }
}

/// A fake entry. Requests for a token are answered without using the script.
pub struct FakeEntry {
    pub address: SocketAddr,
    seen: Receiver<ReceivedRequest>,
}

impl FakeEntry {
    /// Starts an entry whose token has this home number.
    pub fn start(home: u8, script: Vec<Reaction>) -> FakeEntry {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, seen) = channel();
        std::thread::spawn(move || serve(&listener, home, script, &sender));
        FakeEntry { address, seen }
    }

    /// Returns an address without a listener.
    pub fn absent() -> SocketAddr {
        TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
    }

    /// Returns the next request that is not for a token.
    pub fn seen(&self) -> ReceivedRequest {
        self.seen.recv().unwrap()
    }
}

fn serve(
    listener: &TcpListener,
    home: u8,
    script: Vec<Reaction>,
    sender: &Sender<ReceivedRequest>,
) {
    let mut script = script.into_iter();
    let mut hanging = Vec::new();
    for stream in listener.incoming() {
        let mut stream = stream.unwrap();
        let Some(seen) = receive(&mut stream) else { continue };
        if seen.line.starts_with("GET /v1/home") {
            answer(&mut stream, home, 200, "", "{}");
            continue;
        }
        sender.send(seen).ok();
        match script.next().expect("the script is over") {
            Reaction::Answer(status, headers, body) => {
                answer(&mut stream, home, status, &headers, &body);
            }
            Reaction::Close => {}
            Reaction::Hang => hanging.push(stream),
        }
    }
}

fn receive(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let line = lines.remove(0);
    let split = |line: String| line.split_once(": ").map(|(k, v)| (k.to_owned(), v.to_owned()));
    let headers = lines.into_iter().filter_map(split).collect();
    let mut seen = ReceivedRequest { line, headers, body: Vec::new() };
    if let Some(length) = seen.header("content-length").map(|text| text.parse().unwrap()) {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
        seen.body = vec![0; length];
        reader.read_exact(&mut seen.body).ok()?;
    }
    Some(seen)
}

fn answer(stream: &mut TcpStream, home: u8, status: u16, headers: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nPrimrosestep-Home: 0-0-{home:x}-0\r\n{headers}\
         Content-Type: application/json\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n\
         {body}"
    );
    stream.write_all(text.as_bytes()).ok();
}
