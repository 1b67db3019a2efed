//! The byte stream that the HTTP library uses for one request.
//!
//! It wraps the socket for three reasons. It counts the bytes of the request that were sent. It
//! sends head and body in one write, while the library would wait for `100 Continue` between them,
//! which costs each task one more round trip. And it rejects status lines on which the library
//! would panic.

use crate::http::meter::Meter;
use bytes::{Buf, Bytes};
use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    io::{Error, ErrorKind, IoSlice, Result},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use trillium_client::Status;

/// Length of `HTTP/1.1 200`.
const STATUS_LINE_LEN: usize = 12;
/// The smallest status of a final response.
const MIN_FINAL_STATUS: u16 = 200;

/// The stream of one request on a connection. Dropping it leaves the connection open.
#[derive(Debug)]
pub(crate) struct Stream {
    tcp: TcpStream,
    meter: Arc<Meter>,
    /// Bytes of the head that the socket has not accepted.
    head: Vec<u8>,
    /// Bytes of the body that the socket has not accepted.
    body: Bytes,
    /// The start of the response, until it is long enough to check.
    status_line: Vec<u8>,
}

impl Stream {
    pub(crate) fn new(tcp: TcpStream, body: Bytes, meter: Arc<Meter>) -> Self {
        let status_line = Vec::with_capacity(STATUS_LINE_LEN);
        Stream { tcp, meter, head: Vec::new(), body, status_line }
    }

    /// Writes the rest of the request to the socket.
    fn poll_send(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        while !self.head.is_empty() || !self.body.is_empty() {
            let slices = [IoSlice::new(&self.head), IoSlice::new(&self.body)];
            let count = ready!(Pin::new(&mut self.tcp).poll_write_vectored(cx, &slices))?;
            if count == 0 {
                return Poll::Ready(Err(ErrorKind::WriteZero.into()));
            }
            self.meter.add_written(count);
            let head_bytes = count.min(self.head.len());
            self.head.drain(..head_bytes);
            self.body.advance(count - head_bytes);
        }
        self.meter.set_complete();
        Poll::Ready(Ok(()))
    }

    /// Checks the status line once it is complete: the library supports only registered statuses,
    /// and treats an interim response as the final one.
    fn check_status(&mut self, bytes: &[u8]) -> Result<()> {
        if self.status_line.len() == STATUS_LINE_LEN {
            return Ok(());
        }
        let missing = STATUS_LINE_LEN - self.status_line.len();
        let blank = self.status_line.is_empty();
        let line = bytes.iter().skip_while(|byte| blank && matches!(byte, b'\r' | b'\n'));
        self.status_line.extend(line.take(missing));
        if self.status_line.len() < STATUS_LINE_LEN {
            return Ok(());
        }
        let known = std::str::from_utf8(&self.status_line)
            .ok()
            .and_then(|line| line.split_once(' '))
            .and_then(|(_, code)| code.parse::<u16>().ok())
            .is_some_and(|code| code >= MIN_FINAL_STATUS && Status::try_from(code).is_ok());
        if !known {
            return Err(ErrorKind::InvalidData.into());
        }
        if self.status_line.starts_with(b"HTTP/1.1") {
            self.meter.set_persistent();
        }
        Ok(())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        // An endpoint may respond before it has read the whole request, and then close the
        // connection.
        let sent = self.poll_send(cx);
        let count = match (Pin::new(&mut self.tcp).poll_read(cx, buf), sent) {
            (Poll::Ready(Ok(count)), _) if count > 0 => count,
            (_, Poll::Ready(Err(error))) => return Poll::Ready(Err(error)),
            (Poll::Pending, _) => return Poll::Pending,
            (Poll::Ready(result), _) => return Poll::Ready(result),
        };
        self.meter.touch();
        self.check_status(&buf[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.head.extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.poll_send(cx)
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl trillium_http::transport::Transport for Stream {
    fn peer_addr(&self) -> Result<Option<SocketAddr>> {
        Ok(None)
    }
}

/// Holds the stream that the HTTP library gets in place of a new connection.
#[derive(Debug, Default)]
pub(crate) struct StreamSlot(parking_lot::Mutex<Option<Stream>>);

impl StreamSlot {
    pub(crate) fn put(&self, stream: Stream) {
        *self.0.lock() = Some(stream);
    }
}

/// Connector of the HTTP library that takes the stream from a [`StreamSlot`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Connector(pub(crate) Arc<StreamSlot>);

#[trillium_client::async_trait]
impl trillium_client::Connector for Connector {
    type Transport = Stream;

    async fn connect(&self, _: &trillium_client::Url) -> Result<Stream> {
        self.0.0.lock().take().ok_or_else(|| Error::from(ErrorKind::NotConnected))
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, fut: Fut) {
        smol::spawn(fut).detach();
    }
}
