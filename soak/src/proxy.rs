//! A TCP proxy on loopback that delays, holds back, refuses or resets what passes it.

use event_listener::Event;
use parking_lot::Mutex;
use smol::{
    Task, Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 << 10;

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Way {
    /// They pass.
    #[default]
    Open,
    /// They pass after a time.
    Slow(Duration),
    /// They are held back until this changes.
    Silent,
}

/// What a proxy does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mode {
    /// From the side that connects.
    pub there: Way,
    /// From the side that is connected to.
    pub back: Way,
}

/// A running proxy. Stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _accepting: Task<()>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    state: Mutex<State>,
    changed: Event,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    /// Connections that began under an earlier number are reset.
    generation: u64,
}

/// Which side a direction begins at.
#[derive(Clone, Copy)]
enum Side {
    Connecting,
    Connected,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State::default());
        let shared = Arc::new(Shared { target, state, changed: Event::new() });
        let accepting = smol::spawn(accept(listener, shared.clone()));
        Ok(Proxy { address, shared, _accepting: accepting })
    }

    /// Changes what the proxy does, also to open connections.
    pub fn set(&self, mode: Mode) {
        self.shared.state.lock().mode = mode;
        self.shared.changed.notify(usize::MAX);
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.shared.state.lock().generation += 1;
        self.shared.changed.notify(usize::MAX);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Fails only when descriptors run out; the connections that are open go on.
    while let Ok((stream, _)) = listener.accept().await {
        smol::spawn(carry(stream, shared.clone())).detach();
    }
}

/// Carries one connection until an end closes it or it is reset.
async fn carry(near: TcpStream, shared: Arc<Shared>) {
    let generation = shared.state.lock().generation;
    let Ok(far) = TcpStream::connect(shared.target).await else {
        return reset(&[&near]);
    };
    let there = pump(near.clone(), far.clone(), Side::Connecting, &shared);
    let back = pump(far.clone(), near.clone(), Side::Connected, &shared);
    // An end may close its direction and still read; an error ends both.
    let both = async { smol::future::try_zip(there, back).await.map(drop) };
    let ended = async {
        shared.until(|state| state.generation != generation).await;
        Err(io::ErrorKind::ConnectionReset.into())
    };
    if both.or(ended).await.is_err() {
        reset(&[&near, &far]);
    }
}

/// Passes the bytes of one direction on, and its end.
async fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    side: Side,
    shared: &Shared,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let count = from.read(&mut buffer).await?;
        shared.let_pass(side).await;
        if count == 0 {
            return to.shutdown(std::net::Shutdown::Write);
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Makes the close of these connections a reset.
fn reset(streams: &[&TcpStream]) {
    for stream in streams {
        // Fails only for a connection that is closed already.
        let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    }
}

impl Shared {
    async fn let_pass(&self, side: Side) {
        let way = |state: &State| match side {
            Side::Connecting => state.mode.there,
            Side::Connected => state.mode.back,
        };
        let now = way(&self.state.lock());
        match now {
            Way::Open => {}
            Way::Slow(delay) => drop(Timer::after(delay).await),
            Way::Silent => self.until(|state| way(state) != Way::Silent).await,
        }
    }

    async fn until(&self, holds: impl Fn(&State) -> bool) {
        loop {
            let changed = self.changed.listen();
            if holds(&self.state.lock()) {
                return;
            }
            changed.await;
        }
    }
}
