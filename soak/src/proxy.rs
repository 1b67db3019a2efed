//! TCP proxy on loopback that forwards, delays, blocks or resets connections.

use event_listener::Event;
use parking_lot::Mutex;
use smol::{
    Task, Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Most bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// How the bytes of one direction are forwarded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Forwarding {
    /// At once.
    #[default]
    Immediate,
    /// After a delay.
    Delayed(Duration),
    /// Not until the mode changes; a UDP relay drops them.
    Blocked,
}

/// How a proxy forwards each direction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Mode {
    /// From the side that connects to the target.
    pub to_target: Forwarding,
    /// From the target to the side that connects.
    pub from_target: Forwarding,
}

/// A running proxy. Stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Address that it listens on.
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
    /// Connections that were accepted under a lower number are reset.
    generation: u64,
}

/// Direction of the bytes of a connection.
#[derive(Clone, Copy)]
enum Direction {
    ToTarget,
    FromTarget,
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

    /// Changes the mode, for open connections too.
    pub fn set(&self, mode: Mode) {
        self.shared.state.lock().mode = mode;
        self.shared.changed.notify(usize::MAX);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.state.lock().generation += 1;
        self.shared.changed.notify(usize::MAX);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Fails only when file descriptors run out; open connections are not affected.
    while let Ok((stream, _)) = listener.accept().await {
        smol::spawn(forward_connection(stream, shared.clone())).detach();
    }
}

/// Forwards one connection until both ends have closed it or it is reset.
async fn forward_connection(near: TcpStream, shared: Arc<Shared>) {
    let generation = shared.state.lock().generation;
    let Ok(far) = TcpStream::connect(shared.target).await else {
        return reset(&[&near]);
    };
    let there = forward(near.clone(), far.clone(), Direction::ToTarget, &shared);
    let back = forward(far.clone(), near.clone(), Direction::FromTarget, &shared);
    // An end may close its direction and still read; an error ends both directions.
    let both = async { smol::future::try_zip(there, back).await.map(drop) };
    let ended = async {
        shared.wait_until(|state| state.generation != generation).await;
        Err(io::ErrorKind::ConnectionReset.into())
    };
    if both.or(ended).await.is_err() {
        reset(&[&near, &far]);
    }
}

/// Forwards the bytes of one direction and its end.
async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    shared: &Shared,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        shared.wait_to_forward(direction).await;
        if count == 0 {
            return to.shutdown(std::net::Shutdown::Write);
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Makes these connections close with a TCP reset, by a linger time of zero.
fn reset(streams: &[&TcpStream]) {
    for stream in streams {
        // Fails only for a connection that is already closed.
        let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    }
}

impl Shared {
    async fn wait_to_forward(&self, direction: Direction) {
        let forwarding = |state: &State| match direction {
            Direction::ToTarget => state.mode.to_target,
            Direction::FromTarget => state.mode.from_target,
        };
        let now = forwarding(&self.state.lock());
        match now {
            Forwarding::Immediate => {}
            Forwarding::Delayed(delay) => drop(Timer::after(delay).await),
            Forwarding::Blocked => {
                self.wait_until(|state| forwarding(state) != Forwarding::Blocked).await
            }
        }
    }

    async fn wait_until(&self, holds: impl Fn(&State) -> bool) {
        loop {
            let changed = self.changed.listen();
            if holds(&self.state.lock()) {
                return;
            }
            changed.await;
        }
    }
}
