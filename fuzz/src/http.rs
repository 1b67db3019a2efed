//! Writes HTTP/1.1 messages, some of them malformed, and parses responses.

use crate::{Random, bytes};
use rand::{Rng, seq::IndexedRandom};

/// Header values that HTTP parsers often mishandle.
const HEADER_VALUES: [&str; 16] = [
    "",
    " ",
    "close",
    "keep-alive, close",
    "gzip",
    "chunked, chunked",
    "identity",
    "100-continue",
    "+5",
    "-1",
    "0x10",
    "5, 5",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999",
    "\u{1f600}",
];

/// Upper bound on the total size of the values of the filler headers, in bytes. Many of them make a
/// message head too long.
const OVERSIZED_HEADERS_BYTES: usize = 64 << 10;

/// How a message marks the end of its body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The message does not mark the end.
    None,
    /// `Content-Length` with the right length.
    Length,
    /// `Content-Length` with an arbitrary number.
    WrongLength,
    /// Chunked transfer encoding.
    Chunks,
    /// Chunked transfer encoding; each chunk has an arbitrary size line with probability 1/2.
    InvalidChunkSize,
    /// `Content-Length` and chunked transfer encoding at once.
    Both,
}

impl Framing {
    /// Returns a random framing, valid in most cases.
    pub fn random(rng: &mut Random) -> Framing {
        const FLAWED: [Framing; 4] =
            [Framing::None, Framing::WrongLength, Framing::InvalidChunkSize, Framing::Both];
        match rng.random_range(0..10) {
            0..=5 => Framing::Length,
            6 | 7 => Framing::Chunks,
            _ => FLAWED.choose(rng).copied().unwrap_or(Framing::None),
        }
    }
}

/// A request or response before it is written as bytes.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or status line, without line break.
    pub start: String,
    /// Names and values of the headers, except those of the framing.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// How the end of the body is marked.
    pub framing: Framing,
}

impl Message {
    /// Corrupts up to two headers.
    pub fn corrupt(&mut self, rng: &mut Random) {
        for _ in 0..rng.random_range(0..4_u32).saturating_sub(1) {
            self.corrupt_header(rng);
        }
    }

    fn corrupt_header(&mut self, rng: &mut Random) {
        let invalid = HEADER_VALUES.choose(rng).copied().unwrap_or_default().to_owned();
        if self.headers.is_empty() || rng.random_ratio(1, 60) {
            let count = rng.random_range(1..300);
            let filler = "x".repeat(OVERSIZED_HEADERS_BYTES / 300);
            self.headers.extend((0..count).map(|n| (format!("X-{n}"), filler.clone())));
            return;
        }
        let place = rng.random_range(0..self.headers.len());
        match rng.random_range(0..6) {
            0 => drop(self.headers.remove(place)),
            1 => self.headers.push(self.headers[place].clone()),
            2 => self.headers[place].1 = invalid,
            3 => self.headers.push(("Content-Length".into(), invalid)),
            4 => self.headers.push(("Transfer-Encoding".into(), invalid)),
            _ => self.headers.push(("Connection".into(), invalid)),
        }
    }

    /// Returns the bytes of the message.
    pub fn write(&self, rng: &mut Random) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        let length = self.body.len() as u64;
        text += &match self.framing {
            Framing::None => String::new(),
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::WrongLength => format!("Content-Length: {}\r\n", bytes::number(rng)),
            Framing::Chunks | Framing::InvalidChunkSize => "Transfer-Encoding: chunked\r\n".into(),
            Framing::Both => {
                format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n")
            }
        };
        let mut message = (text + "\r\n").into_bytes();
        match self.framing {
            Framing::None | Framing::Length | Framing::WrongLength => message.extend(&self.body),
            Framing::Chunks | Framing::InvalidChunkSize | Framing::Both => {
                self.write_chunks(&mut message, rng)
            }
        }
        message
    }

    fn write_chunks(&self, message: &mut Vec<u8>, rng: &mut Random) {
        let size = rng.random_range(1..=self.body.len().max(1));
        for chunk in self.body.chunks(size) {
            let invalid = self.framing == Framing::InvalidChunkSize && rng.random_ratio(1, 2);
            let length = if invalid { bytes::number(rng) } else { chunk.len() as u64 };
            message.extend(format!("{length:x}\r\n").as_bytes());
            message.extend(chunk);
            message.extend(b"\r\n");
        }
        message.extend(b"0\r\n\r\n");
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the first value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Parses the first response and removes it from `bytes`. Returns `None` if it is incomplete or
    /// malformed. A response without its body is complete when nothing or another response follows,
    /// as after `HEAD`.
    pub fn parse(bytes: &mut &[u8]) -> Option<Response> {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&bytes[..end]).ok()?;
        let mut lines = head.split("\r\n");
        let status = lines.next()?.strip_prefix("HTTP/1.")?.get(2..5)?.parse().ok()?;
        let headers = lines
            .map(|line| line.split_once(": ").map(|(n, v)| (n.to_ascii_lowercase(), v.into())))
            .collect::<Option<Vec<_>>>()?;
        let mut response = Response { status, headers, body: Vec::new() };
        let rest = &bytes[end + 4..];
        let length = match status {
            100 => 0,
            _ => response.header("content-length")?.parse().ok()?,
        };
        let bodiless = rest.is_empty() || rest.starts_with(b"HTTP/1.");
        let length = if bodiless { 0 } else { length };
        response.body = rest.get(..length)?.to_vec();
        *bytes = &rest[length..];
        Some(response)
    }
}
