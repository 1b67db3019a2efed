//! TCP proxy on loopback that forwards, delays, blocks or resets connections.

use event_listener::Event;
use parking_lot::Mutex;
use smol::{
    Task, Timer,
    future::FutureExt,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Most bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 16 << 10;

/// Longest wait until an address that was bound before is free.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);

/// How often binding it is tried.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(5);

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
    /// The end of what the side that connects sends, once all of that is forwarded.
    pub end: Forwarding,
}

/// A running proxy. Stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// `None` while it is closed.
    accepting: Mutex<Option<Task<()>>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Event,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    mode: Mode,
    /// Connections that were accepted under a lower number are reset.
    generation: u64,
}

/// Direction of the bytes of a connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    ToTarget,
    FromTarget,
    /// The end of the bytes to the target.
    End,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        Self::start_at(([127, 0, 0, 1], 0).into(), target).await
    }

    /// Starts a proxy to `target` that listens on `address`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { target, mode: Mode::default(), generation: 0 });
        let shared = Arc::new(Shared { state, changed: Event::new() });
        let accepting = Mutex::new(Some(smol::spawn(accept(listener, shared.clone()))));
        Ok(Proxy { address, shared, accepting })
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

    /// Stops listening, so that connections are refused, and resets the open ones. Nothing is
    /// forwarded once it returns.
    pub async fn close(&self) {
        let accepting = self.accepting.lock().take();
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
        self.reset();
    }

    /// Listens again on the same address, and forwards new connections to `target`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn reopen(&self, target: SocketAddr) -> io::Result<()> {
        let listener = bind_again(self.address).await?;
        self.shared.state.lock().target = target;
        *self.accepting.lock() = Some(smol::spawn(accept(listener, self.shared.clone())));
        Ok(())
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Fails only when file descriptors run out; open connections are not affected.
    while let Ok((stream, _)) = listener.accept().await {
        let (target, generation) = {
            let state = shared.state.lock();
            (state.target, state.generation)
        };
        let forwarding = forward_connection(stream, target, generation, shared.clone());
        smol::spawn(forwarding).detach();
    }
}

/// Binds an address that was bound before. A child process that has not executed its program yet
/// may still hold a copy of the former socket.
async fn bind_again(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                Timer::after(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Forwards one connection until both ends have closed it or it is reset.
async fn forward_connection(
    near: TcpStream,
    target: SocketAddr,
    generation: u64,
    shared: Arc<Shared>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&[&near]);
    };
    let there = forward(near.clone(), far.clone(), Direction::ToTarget, generation, &shared);
    let back = forward(far.clone(), near.clone(), Direction::FromTarget, generation, &shared);
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
    generation: u64,
    shared: &Shared,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        shared.wait_to_forward(direction).await;
        if shared.state.lock().generation != generation {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if count == 0 {
            if direction == Direction::ToTarget {
                shared.wait_to_forward(Direction::End).await;
            }
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
            Direction::End => state.mode.end,
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
