//! A node: all connections of one entry.

mod accept;
mod backoff;
mod dial;
mod greeting;
mod outbox;
mod runtime;
mod session;
mod table;
mod traffic;

pub use traffic::Traffic;

use crate::{Code, Error, Options, tls::Identity};
use futures_lite::future;
use parking_lot::{Mutex, RwLock};
use quinn::{ClientConfig, Endpoint, EndpointConfig, TransportConfig};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Serialize, de::DeserializeOwned};
use site::id::{EntryId, Home};
use smol::Timer;
use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};
use table::Table;
use traffic::Counters;

/// What may be sent to peers: anything that has an encoding of its own and may change threads.
pub trait Payload: Serialize + DeserializeOwned + Send + 'static {}

impl<M: Serialize + DeserializeOwned + Send + 'static> Payload for M {}

/// What a node tells its owner.
#[derive(Debug)]
pub enum Incoming<M> {
    /// A connection to a peer came up. Followed by exactly one `Down` for it.
    Up {
        /// The peer, authenticated.
        peer: Home,
    },
    /// The connection to a peer is lost. What was sent may or may not have arrived.
    Down {
        /// The peer.
        peer: Home,
    },
    /// A message. Comes between `Up` and `Down` of its sender, in the order of sending.
    Message {
        /// The sender, authenticated.
        from: Home,
        /// What it says.
        message: M,
    },
    /// A connection could not be made or accepted. Attempts of this end go on.
    Failed {
        /// The other end.
        address: SocketAddr,
        /// Why.
        error: Error,
    },
}

/// All connections of one entry. Dropping it closes them at once.
#[derive(Debug)]
pub struct Node<M> {
    inner: Arc<Inner<M>>,
}

#[derive(Debug)]
struct Inner<M> {
    options: Options,
    /// Where this node accepts connections.
    address: SocketAddr,
    endpoint: Endpoint,
    transport: Arc<TransportConfig>,
    /// Replaced when the identity is.
    client: RwLock<ClientConfig>,
    table: Table,
    dials: Mutex<FxHashMap<EntryId, dial::Dial<M>>>,
    /// Where others are just connecting from.
    arriving: Mutex<FxHashSet<SocketAddr>>,
    counters: Counters,
    incoming: async_channel::Sender<Incoming<M>>,
}

impl<M: Payload> Node<M> {
    /// Opens the socket and accepts connections from now on.
    ///
    /// # Errors
    ///
    /// The address can't be bound, the identity is not that of the options' home, or can't be
    /// used.
    pub fn start(options: Options) -> Result<(Self, async_channel::Receiver<Incoming<M>>), Error> {
        options.identity.check(options.home.entry)?;
        let transport = Arc::new(options.transport());
        let client = RwLock::new(options.identity.client(transport.clone())?);
        let (endpoint, address) = listen(&options, &transport)?;
        let (incoming, receiver) = async_channel::bounded(options.backlog);
        let inner = Arc::new(Inner {
            table: Table::new(options.home),
            options,
            address,
            endpoint,
            transport,
            client,
            dials: Mutex::default(),
            arriving: Mutex::default(),
            counters: Counters::default(),
            incoming,
        });
        smol::spawn(accept::accept(inner.clone())).detach();
        Ok((Self { inner }, receiver))
    }

    /// Keeps a connection to `entry`, which listens on `address`, until [`Node::forget`]. An
    /// entry that has a connection already keeps it; the address counts from the next attempt on.
    pub fn connect(&self, entry: EntryId, address: SocketAddr) {
        self.keep(entry, address, Duration::ZERO);
    }

    /// Like [`Node::connect`], but `entry` is about to connect to this node: it is left to do so for
    /// `patience`, so that not both ends make a connection of which one is closed again.
    pub fn expect(&self, entry: EntryId, address: SocketAddr, patience: Duration) {
        self.keep(entry, address, patience);
    }

    fn keep(&self, entry: EntryId, address: SocketAddr, patience: Duration) {
        if entry == self.inner.options.home.entry {
            return;
        }
        let mut dials = self.inner.dials.lock();
        match dials.get(&entry) {
            Some(dial) => dial.set_address(address),
            None => {
                dials
                    .insert(entry, dial::Dial::start(self.inner.clone(), entry, address, patience));
            }
        }
    }

    /// Stops keeping a connection to `entry` and closes it if this end made it. One that the
    /// entry made stays until that end closes it.
    pub fn forget(&self, entry: EntryId) {
        self.inner.dials.lock().remove(&entry);
        self.inner
            .table
            .of_entry(entry)
            .iter()
            .filter(|session| session.dialled())
            .for_each(|session| session.close(Code::Forgotten));
    }

    /// Queues a message. Never waits.
    ///
    /// # Errors
    ///
    /// There is no connection to the peer, the message is longer than a frame may be, or the
    /// queue is full; in that case the connection is closed.
    pub fn send(&self, to: Home, message: &M) -> Result<(), Error> {
        let session = self.inner.table.get(to).ok_or(Error::NotConnected(to))?;
        let sent = session.send(message);
        match &sent {
            Ok(()) => self.inner.counters.sent(),
            Err(Error::Overflow(_)) => self.inner.counters.overflowed(),
            Err(_) => {}
        }
        sent
    }

    /// Where this node accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// The peers that are connected now, in no order.
    pub fn peers(&self) -> Vec<Home> {
        self.inner.table.all().iter().map(|session| session.peer()).collect()
    }

    /// Where a connected peer says that it accepts connections.
    pub fn addresses(&self, peer: Home) -> Vec<SocketAddr> {
        self.inner.table.get(peer).map(|s| s.addresses().to_vec()).unwrap_or_default()
    }

    /// What went in and out since the start.
    pub fn traffic(&self) -> Traffic {
        let live = self.inner.table.all();
        self.inner.counters.traffic(live.iter().map(|session| session.datagrams()))
    }

    /// Uses another certificate, key and authority for connections from now on. Connections that
    /// are up stay.
    ///
    /// # Errors
    ///
    /// The identity is not that of this node's home, or can't be used; the former one stays.
    pub fn set_identity(&self, identity: &Identity) -> Result<(), Error> {
        let inner = &self.inner;
        identity.check(inner.options.home.entry)?;
        let client = identity.client(inner.transport.clone())?;
        let server = identity.server(inner.transport.clone())?;
        *inner.client.write() = client;
        inner.endpoint.set_server_config(Some(server));
        Ok(())
    }

    /// Lets queued messages arrive, for at most [`Options::close_timeout`], then closes all
    /// connections. Nothing can be sent from now on.
    pub async fn close(&self) {
        let inner = &self.inner;
        inner.dials.lock().clear();
        inner.endpoint.set_server_config(None);
        let sessions = inner.table.all();
        sessions.iter().for_each(|session| session.finish());
        let finished = async {
            for session in &sessions {
                session.finished().await;
            }
        };
        within(inner.options.close_timeout, finished).await;
        inner.endpoint.close(Code::Done.into(), b"");
        within(inner.options.close_timeout, inner.endpoint.wait_idle()).await;
    }
}

impl<M> Drop for Node<M> {
    fn drop(&mut self) {
        self.inner.dials.lock().clear();
        self.inner.endpoint.close(Code::Done.into(), b"");
    }
}

fn listen(
    options: &Options,
    transport: &Arc<TransportConfig>,
) -> Result<(Endpoint, SocketAddr), Error> {
    let address = options.listen;
    let server = options.identity.server(transport.clone())?;
    let failed = |source| Error::Listen { address, source };
    let socket = UdpSocket::bind(address).map_err(failed)?;
    let bound = socket.local_addr().map_err(failed)?;
    let runtime = Arc::new(runtime::Smol);
    let endpoint =
        Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime).map_err(failed)?;
    Ok((endpoint, bound))
}

/// The output of `task`, or `None` when it takes longer than `limit`.
async fn within<T>(limit: Duration, task: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(task.await) }, timeout).await
}
