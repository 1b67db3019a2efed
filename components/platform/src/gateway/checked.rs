//! Byte stream that validates status lines.
//!
//! The HTTP library panics on a status that is not registered. A [`Checked`] wraps the socket and
//! returns an error at such a status line.

use smol::io::{AsyncRead, AsyncWrite};
use std::{
    io::{Error, ErrorKind, Result},
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
};
use trillium_client::{Status, Url};
use trillium_http::transport::Transport;
use trillium_smol::ClientConfig;

/// Length of `HTTP/1.1 200`.
const STATUS_LINE_LEN: usize = 12;
/// The end of a head, as a big-endian number.
const END_OF_HEAD: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// The part of the response that the next byte belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    /// The status line.
    StatusLine,
    /// The rest of the head; `last` has its last four bytes.
    Head { last: u32, status: Status },
    /// The body.
    Body,
}

/// A stream whose status lines the HTTP library can parse.
#[derive(Debug)]
pub(super) struct Checked<T> {
    inner: T,
    part: Part,
    /// The start of the status line; shorter than [`STATUS_LINE_LEN`].
    line: Vec<u8>,
}

impl<T> Checked<T> {
    fn new(inner: T) -> Checked<T> {
        Checked { inner, part: Part::StatusLine, line: Vec::with_capacity(STATUS_LINE_LEN) }
    }

    fn check(&mut self, bytes: &[u8]) -> Result<()> {
        for byte in bytes {
            self.part = match self.part {
                Part::StatusLine => self.check_line(*byte)?,
                Part::Head { last, status } => after(last << 8 | u32::from(*byte), status),
                Part::Body => return Ok(()),
            };
        }
        Ok(())
    }

    fn check_line(&mut self, byte: u8) -> Result<Part> {
        // The library also skips line breaks before the status line.
        if self.line.is_empty() && matches!(byte, b'\r' | b'\n') {
            return Ok(Part::StatusLine);
        }
        self.line.push(byte);
        if self.line.len() < STATUS_LINE_LEN {
            return Ok(Part::StatusLine);
        }
        let line = std::mem::take(&mut self.line);
        let status = parse(&line).ok_or(ErrorKind::InvalidData)?;
        Ok(Part::Head { last: 0, status })
    }
}

/// Returns the part after a byte of the head. Another status line follows an interim response.
fn after(last: u32, status: Status) -> Part {
    match last == END_OF_HEAD {
        true if status == Status::Continue => Part::StatusLine,
        true => Part::Body,
        false => Part::Head { last, status },
    }
}

fn parse(line: &[u8]) -> Option<Status> {
    let (_, code) = std::str::from_utf8(line).ok()?.split_once(' ')?;
    Status::try_from(code.parse::<u16>().ok()?).ok()
}

impl<T: AsyncRead + Unpin> AsyncRead for Checked<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.check(&buf[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Checked<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl<T: Transport> Transport for Checked<T> {
    fn peer_addr(&self) -> Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}

/// Opens TCP connections and wraps them in [`Checked`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Connector(pub(super) ClientConfig);

#[trillium_client::async_trait]
impl trillium_client::Connector for Connector {
    type Transport = Checked<<ClientConfig as trillium_client::Connector>::Transport>;

    async fn connect(&self, url: &Url) -> std::result::Result<Self::Transport, Error> {
        self.0.connect(url).await.map(Checked::new)
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, fut: Fut) {
        self.0.spawn(fut);
    }
}
