//! A small HTTP/1.1 server and client. Channels are kept open unless a side says otherwise.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.path.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(other, _)| *other == name).map(|(_, value)| decode(value)).next()
    }
}

/// Status and body; `None` closes the channel without an answer.
pub type Answer = Option<(u16, String)>;

pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for channel in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || serve_channel(channel, &*handle));
        }
    });
    Ok(bound)
}

fn serve_channel(mut channel: TcpStream, handle: &dyn Fn(Request) -> Answer) {
    let _ = channel.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut channel, &mut buffer) {
        let Some((status, body)) = handle(request) else { return };
        let text = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            reason(status),
            body.len()
        );
        if channel.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(channel: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        more(channel, buffer)?;
    };
    let head = String::from_utf8(buffer[..end].to_vec()).ok()?;
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut request = Request { method, path, headers, body: String::new() };
    let length: usize = request.header("Content-Length").map_or(Some(0), |n| n.parse().ok())?;
    while buffer.len() < end + 4 + length {
        more(channel, buffer)?;
    }
    request.body = String::from_utf8(buffer[end + 4..end + 4 + length].to_vec()).ok()?;
    buffer.drain(..end + 4 + length);
    Some(request)
}

fn more(channel: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    match channel.read(&mut chunk) {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&chunk[..count]);
            Some(())
        }
        _ => None,
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = |n: usize| bytes.get(n).and_then(|b| char::from(*b).to_digit(16));
        match (bytes[at], hex(at + 1), hex(at + 2)) {
            (b'%', Some(high), Some(low)) => {
                out.push((high * 16 + low) as u8);
                at += 3;
            }
            (byte, ..) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// How a request of a client ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer: status, body, whether the server closes the channel.
    Answered(u16, String, bool),
    /// The channel ended without a complete answer.
    Broken,
    /// No complete answer within the client's time.
    Silent,
}

/// One channel of a client.
pub struct Channel {
    stream: TcpStream,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Channel { stream })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        remaining_ms: u64,
        body: &str,
    ) -> io::Result<()> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
             X-Remaining-Milliseconds: {remaining_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }

    pub fn receive(&mut self, until: Instant) -> Outcome {
        let mut buffer = Vec::new();
        loop {
            if let Some(outcome) = answer(&buffer) {
                return outcome;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Outcome::Silent;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Outcome::Broken,
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Outcome::Silent;
                }
                Err(_) => return Outcome::Broken,
            }
        }
    }
}

fn answer(buffer: &[u8]) -> Option<Outcome> {
    let end = find(buffer, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let header = |name: &str| {
        let lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned()).next()
    };
    let length: usize = header("Content-Length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let body = buffer.get(end + 4..end + 4 + length)?;
    let closes = header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Some(Outcome::Answered(status, String::from_utf8_lossy(body).into_owned(), closes))
}
