//! Time limits on a connection.
//!
//! The HTTP library reads request heads and writes responses without time limits. A
//! [`TimedConnection`] wraps the socket, tracks the phases of the exchange and fails reads or
//! writes when a phase takes too long.

use crate::Options;
use async_trait::async_trait;
use site::unit::Span;
use smol::{
    Timer,
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
};
use std::{
    convert::Infallible,
    future::Future as _,
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};
use trillium::Conn;
use trillium_server_common::{Acceptor, Transport};
use trillium_smol::{
    Binding, SmolTransport,
    async_net::{TcpStream, unix::UnixStream},
};

/// Maximum bytes that a caller may pipeline while it waits for a response.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// Maximum bytes that are read and discarded before a connection is closed, so that the caller
/// receives the response and not a reset.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Maximum time spent on sending the final response and discarding input before the close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

const SLOW_HEAD_RESPONSE: &[u8] = concat!(
    "HTTP/1.1 408 Request Timeout\r\n",
    "Content-Type: application/problem+json\r\nConnection: close\r\nContent-Length: 185\r\n\r\n",
    r#"{"type":"urn:primrosestep:problem:slow-head","title":"the request was turned away","#,
    r#""status":408,"detail":"the head did not arrive in time","#,
    r#""outcome":"may-have-run","reason":"slow-head"}"#,
)
.as_bytes();

const MALFORMED_HEAD_RESPONSE: &[u8] = concat!(
    "HTTP/1.1 400 Bad Request\r\n",
    "Content-Type: application/problem+json\r\nConnection: close\r\nContent-Length: 192\r\n\r\n",
    r#"{"type":"urn:primrosestep:problem:malformed-head","title":"the request was turned away","#,
    r#""status":400,"detail":"the head is no HTTP/1.1 head","#,
    r#""outcome":"may-have-run","reason":"malformed-head"}"#,
)
.as_bytes();

/// Phase of an HTTP exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// Part of a request head has arrived.
    Head,
    /// The handler has the head and may be reading the body.
    Body,
    /// The request is complete and the caller waits for the response.
    Wait,
    /// The response is being written.
    Send,
}

/// A connection with a time limit for each phase.
#[derive(Debug)]
pub struct TimedConnection<T: Transport> {
    /// The wrapped connection; `None` only while it is being dropped.
    inner: Option<T>,
    timeouts: Timeouts,
    phase: Phase,
    /// End of the current phase; `None` if it has no limit.
    deadline: Option<Instant>,
    /// Fires at or before `deadline` while the connection is being polled; re-armed if it fired too
    /// early.
    timer: Option<Alarm>,
    /// Bytes that arrived during [`Phase::Wait`].
    pipelined_bytes: usize,
    /// Response that is sent before the connection is closed; `None` for none.
    final_response: Option<&'static [u8]>,
    /// Whether bytes of the request may be unread when the connection is closed.
    unread: bool,
}

/// A timer and the time at which it fires.
#[derive(Debug)]
struct Alarm {
    at: Instant,
    timer: Timer,
}

/// Time limits of the phases.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    idle: Duration,
    receive: Duration,
    send: Duration,
}

impl From<&Options> for Timeouts {
    fn from(options: &Options) -> Timeouts {
        Timeouts {
            idle: duration(options.idle_limit),
            receive: duration(options.receive_limit),
            send: duration(options.send_limit),
        }
    }
}

#[async_trait]
impl<T: Transport> Acceptor<T> for Timeouts {
    type Output = TimedConnection<T>;
    type Error = Infallible;

    async fn accept(&self, input: T) -> Result<TimedConnection<T>, Infallible> {
        Ok(TimedConnection::new(input, *self))
    }
}

/// Connection type of [`crate::Server`].
pub type SmolConnection =
    TimedConnection<Binding<SmolTransport<TcpStream>, SmolTransport<UnixStream>>>;

/// Returns the timed connection of `conn`; `None` if it is of another type.
pub fn of(conn: &mut Conn) -> Option<&mut SmolConnection> {
    conn.inner_mut().transport_mut().downcast_mut()
}

impl<T: Transport> TimedConnection<T> {
    fn new(inner: T, timeouts: Timeouts) -> TimedConnection<T> {
        TimedConnection {
            inner: Some(inner),
            timeouts,
            phase: Phase::Idle,
            deadline: Instant::now().checked_add(timeouts.receive),
            timer: None,
            pipelined_bytes: 0,
            final_response: None,
            unread: false,
        }
    }

    /// Enters [`Phase::Body`], since the handler has the head. The deadline of the request stays.
    pub fn start_body(&mut self) {
        self.phase = Phase::Body;
    }

    /// Enters [`Phase::Wait`], which has no time limit.
    pub fn start_wait(&mut self) {
        self.phase = Phase::Wait;
        self.deadline = None;
        self.pipelined_bytes = 0;
    }

    /// Enters [`Phase::Send`]. `unread` is true if bytes of the request may be unread.
    pub fn start_response(&mut self, unread: bool) {
        self.phase = Phase::Send;
        self.deadline = Instant::now().checked_add(self.timeouts.send);
        self.unread = unread;
    }

    fn inner(&mut self) -> Pin<&mut T> {
        Pin::new(self.inner.as_mut().expect("the connection is only taken on drop"))
    }

    fn expired(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(deadline) = self.deadline else {
            return false;
        };
        loop {
            let alarm = match self.timer.take() {
                Some(alarm) if alarm.at <= deadline => self.timer.insert(alarm),
                _ => self.timer.insert(Alarm { at: deadline, timer: Timer::at(deadline) }),
            };
            if Pin::new(&mut alarm.timer).poll(cx).is_pending() {
                return false;
            }
            self.timer = None;
            if Instant::now() >= deadline {
                return true;
            }
        }
    }

    /// Handles the arrival of `bytes`; zero is the end of the stream.
    fn received(&mut self, bytes: usize) -> io::Result<usize> {
        match self.phase {
            Phase::Idle if bytes > 0 => {
                self.phase = Phase::Head;
                self.deadline = Instant::now().checked_add(self.timeouts.receive);
            }
            Phase::Wait => {
                self.pipelined_bytes += bytes;
                if self.pipelined_bytes > MAX_PIPELINED_BYTES {
                    return Err(ErrorKind::InvalidData.into());
                }
            }
            Phase::Idle | Phase::Head | Phase::Body | Phase::Send => {}
        }
        Ok(bytes)
    }

    fn timeout_error(&mut self) -> io::Error {
        if self.phase == Phase::Head {
            self.final_response = Some(SLOW_HEAD_RESPONSE);
        }
        ErrorKind::TimedOut.into()
    }
}

impl<T: Transport> AsyncRead for TimedConnection<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.phase == Phase::Send {
            self.phase = Phase::Idle;
            self.deadline = Instant::now().checked_add(self.timeouts.idle);
        }
        if let Poll::Ready(result) = self.inner().poll_read(cx, buf) {
            return Poll::Ready(result.and_then(|bytes| self.received(bytes)));
        }
        if self.expired(cx) {
            return Poll::Ready(Err(self.timeout_error()));
        }
        Poll::Pending
    }
}

impl<T: Transport> AsyncWrite for TimedConnection<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = self.inner().poll_write(cx, buf) {
            return Poll::Ready(result);
        }
        if self.expired(cx) {
            return Poll::Ready(Err(ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_close(cx)
    }
}

impl<T: Transport> Transport for TimedConnection<T> {
    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner().set_nodelay(nodelay)
    }

    fn peer_addr(&self) -> io::Result<Option<std::net::SocketAddr>> {
        self.inner.as_ref().map_or(Ok(None), Transport::peer_addr)
    }
}

impl<T: Transport> Drop for TimedConnection<T> {
    fn drop(&mut self) {
        let malformed = (self.phase == Phase::Head).then_some(MALFORMED_HEAD_RESPONSE);
        let final_response = self.final_response.or(malformed);
        if final_response.is_none() && !self.unread {
            return;
        }
        if let Some(inner) = self.inner.take() {
            trillium_smol::spawn(close(inner, final_response.unwrap_or_default()));
        }
    }
}

/// Sends the final response, if any, and closes the connection without a reset if the caller stops
/// sending in time.
async fn close<T: Transport>(inner: T, final_response: &'static [u8]) {
    let limit = async {
        Timer::after(CLOSE_TIMEOUT).await;
        Ok(())
    };
    // Errors are ignored, since the caller may be gone.
    let _ = smol::future::or(send_and_discard(inner, final_response), limit).await;
}

async fn send_and_discard<T: Transport>(
    mut inner: T,
    final_response: &'static [u8],
) -> io::Result<()> {
    inner.write_all(final_response).await?;
    inner.close().await?;
    let mut rest = inner.take(MAX_DISCARDED_BYTES as u64);
    let mut chunk = [0; 4096];
    while rest.read(&mut chunk).await? > 0 {}
    Ok(())
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
