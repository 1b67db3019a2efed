//! Connections that tell when their requests can have arrived at the earliest.

use arrival::{Moment, Tracker};
use nix::{
    cmsg_space,
    errno::Errno,
    sys::{
        socket::{ControlMessageOwned, MsgFlags, recvmsg},
        time::TimeSpec,
    },
};
use site::unit::Time;
use smol::{
    Async,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    fmt,
    io::{self, IoSliceMut},
    net,
    os::fd::AsRawFd,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};
use trillium::Conn;
use trillium_server_common::Transport;

/// Describes the present moment.
#[derive(Clone)]
pub struct Observer(Arc<dyn Fn() -> Moment + Send + Sync>);

impl Observer {
    /// Creates an observer from a function that describes the present moment.
    pub fn new(moment: impl Fn() -> Moment + Send + Sync + 'static) -> Self {
        Self(Arc::new(moment))
    }

    pub(crate) fn moment(&self) -> Moment {
        (self.0)()
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Observer").finish_non_exhaustive()
    }
}

/// TCP connection of a caller.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// The same socket, for reads with the kernel's time stamps.
    socket: Arc<Async<net::TcpStream>>,
    observer: Observer,
    tracker: Tracker,
    /// Receives the time stamps.
    control: Vec<u8>,
}

/// Returns the connection of `conn`; `None` if it is of another type.
pub fn of(conn: &mut Conn) -> Option<&mut Connection> {
    conn.inner_mut().transport_mut().downcast_mut()
}

impl Connection {
    /// Wraps an accepted connection. `emptied` is the latest time at which there was no connection to
    /// accept.
    pub(crate) fn new(stream: TcpStream, observer: Observer, emptied: Time) -> Self {
        let socket = stream.clone().into();
        let control = cmsg_space!(TimeSpec);
        Self { stream, socket, observer, tracker: Tracker::new(emptied), control }
    }

    /// The earliest time at which the current request can have arrived.
    pub fn request_arrived(&self) -> Time {
        self.tracker.arrived()
    }

    /// Records that the current request has been read to its end.
    pub fn end_request(&mut self) {
        self.tracker.end_request();
    }

    /// Records that the rest of the current request is not read.
    pub fn skip_request(&mut self) {
        self.tracker.skip_request();
    }

    /// Reads what is there; fails with [`io::ErrorKind::WouldBlock`] if nothing is.
    fn receive(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let moment = self.observer.moment();
        let capacity = buf.len();
        let fd = self.socket.as_raw_fd();
        let mut parts = [IoSliceMut::new(buf)];
        let control = Some(&mut self.control[..]);
        let result = recvmsg::<()>(fd, &mut parts, control, MsgFlags::empty());
        let (count, stamp) = match result {
            Ok(message) => {
                // Truncated control messages only lack the time stamp.
                let stamp = message.cmsgs().ok().and_then(|mut all| all.find_map(time_stamp));
                (message.bytes, stamp)
            }
            Err(Errno::EWOULDBLOCK) => {
                self.tracker.wait(moment);
                return Err(io::ErrorKind::WouldBlock.into());
            }
            Err(error) => return Err(error.into()),
        };
        if count > 0 {
            self.tracker.read(moment, stamp, count < capacity);
        }
        Ok(count)
    }
}

/// Converts the kernel's time stamp to the time since 1970.
fn time_stamp(message: ControlMessageOwned) -> Option<Time> {
    let ControlMessageOwned::ScmTimestampns(at) = message else { return None };
    let micros = i128::from(at.tv_sec()) * 1_000_000 + i128::from(at.tv_nsec()) / 1_000;
    u64::try_from(micros).ok().map(Time)
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.receive(buf) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.socket.poll_readable(cx))?;
                }
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.tracker.respond();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl Transport for Connection {
    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.stream.set_nodelay(nodelay)
    }

    fn peer_addr(&self) -> io::Result<Option<net::SocketAddr>> {
        self.stream.peer_addr().map(Some)
    }
}
