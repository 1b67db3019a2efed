//! A node manages all connections of one entry.

mod accept;
mod backoff;
mod dial;
mod handshake;
mod response;
mod runtime;
mod send_queue;
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

/// Messages that can be sent to peers: all types that can be serialised and sent between threads.
pub trait Payload: Serialize + DeserializeOwned + Send + 'static {}

impl<M: Serialize + DeserializeOwned + Send + 'static> Payload for M {}

/// Events and messages that a node delivers.
#[derive(Debug)]
pub enum Incoming<M> {
    /// A connection to a peer was established. Followed by exactly one `Down` for it.
    Up {
        /// The authenticated peer.
        peer: Home,
    },
    /// The connection to a peer has ended. Messages that were sent may or may not have arrived.
    Down {
        /// The peer.
        peer: Home,
    },
    /// A message. Delivered between `Up` and `Down` of its sender, in the order of sending.
    Message {
        /// The authenticated sender.
        from: Home,
        /// The decoded message.
        message: M,
    },
    /// A connection could not be established or accepted. The node continues its own attempts.
    Failed {
        /// Address of the peer.
        address: SocketAddr,
        /// Why the connection failed.
        error: Error,
    },
}

/// All connections of one entry. Dropping the node closes them at once.
#[derive(Debug)]
pub struct Node<M> {
    inner: Arc<Inner<M>>,
}

#[derive(Debug)]
struct Inner<M> {
    options: Options,
    /// Address where this node accepts connections.
    address: SocketAddr,
    endpoint: Endpoint,
    transport: Arc<TransportConfig>,
    /// Replaced together with the identity.
    client: RwLock<ClientConfig>,
    table: Table,
    dials: Mutex<FxHashMap<EntryId, dial::Dial<M>>>,
    /// Addresses of peers whose incoming connections are in the handshake.
    in_handshake: Mutex<FxHashSet<SocketAddr>>,
    counters: Counters,
    incoming: async_channel::Sender<Incoming<M>>,
}

impl<M: Payload> Node<M> {
    /// Opens the socket and starts to accept connections.
    ///
    /// # Errors
    ///
    /// The address can't be bound, or the identity can't be used or is not that of the options'
    /// home.
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
            in_handshake: Mutex::default(),
            counters: Counters::default(),
            incoming,
        });
        smol::spawn(accept::accept(inner.clone())).detach();
        Ok((Self { inner }, receiver))
    }

    /// Keeps a connection to `entry`, which listens on `address`, until [`Node::forget`]. An
    /// existing connection is kept; a new address is used from the next attempt on.
    pub fn connect(&self, entry: EntryId, address: SocketAddr) {
        self.keep(entry, address, Duration::ZERO);
    }

    /// Like [`Node::connect`], for an entry that is expected to connect to this node. The first
    /// attempt is made only after `delay`, so that not both ends establish a connection, of which
    /// one would be closed as a duplicate.
    pub fn connect_after(&self, entry: EntryId, address: SocketAddr, delay: Duration) {
        self.keep(entry, address, delay);
    }

    fn keep(&self, entry: EntryId, address: SocketAddr, delay: Duration) {
        if entry == self.inner.options.home.entry {
            return;
        }
        let mut dials = self.inner.dials.lock();
        match dials.get(&entry) {
            Some(dial) => dial.set_address(address),
            None => {
                dials.insert(entry, dial::Dial::start(self.inner.clone(), entry, address, delay));
            }
        }
    }

    /// Stops keeping a connection to `entry`, and closes it if this node established it. A
    /// connection that the entry established is kept until the entry closes it.
    pub fn forget(&self, entry: EntryId) {
        self.inner.dials.lock().remove(&entry);
        self.inner
            .table
            .of_entry(entry)
            .iter()
            .filter(|session| session.dialled())
            .for_each(|session| session.close(Code::Forgotten));
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    ///
    /// There is no connection to the peer, the message exceeds the maximum size of a frame, or the
    /// queue is full, in which case the connection is closed.
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

    /// Returns the address where this node accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns the connected peers, unordered.
    pub fn peers(&self) -> Vec<Home> {
        self.inner.table.all().iter().map(|session| session.peer()).collect()
    }

    /// Returns the connected peers that have become unresponsive since the last call: nothing has
    /// arrived from them for `limit` after a packet was sent to them, not even an acknowledgement.
    /// Has to be called several times within the limit. A message of such a peer shows that it
    /// responds again.
    pub fn unresponsive(&self, limit: Duration) -> Vec<Home> {
        let sessions = self.inner.table.all();
        let unresponsive = sessions.iter().filter(|session| session.becomes_unresponsive(limit));
        unresponsive.map(|session| session.peer()).collect()
    }

    /// Returns the addresses that a connected peer advertises; empty if it is not connected.
    pub fn addresses(&self, peer: Home) -> Vec<SocketAddr> {
        self.inner.table.get(peer).map(|s| s.addresses().to_vec()).unwrap_or_default()
    }

    /// Returns the traffic counters since the start.
    pub fn traffic(&self) -> Traffic {
        let live = self.inner.table.all();
        self.inner.counters.traffic(live.iter().map(|session| session.datagrams()))
    }

    /// Replaces certificate, key and authority for new connections. Established connections are
    /// kept.
    ///
    /// # Errors
    ///
    /// The identity can't be used or is not that of this node's home. The old one is then kept.
    pub fn set_identity(&self, identity: &Identity) -> Result<(), Error> {
        let inner = &self.inner;
        identity.check(inner.options.home.entry)?;
        let client = identity.client(inner.transport.clone())?;
        let server = identity.server(inner.transport.clone())?;
        *inner.client.write() = client;
        inner.endpoint.set_server_config(Some(server));
        Ok(())
    }

    /// Waits for at most [`Options::close_timeout`] until queued messages have arrived, then closes
    /// all connections. No further messages can be sent.
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

/// Returns the output of `task`, or `None` if it takes longer than `limit`.
async fn within<T>(limit: Duration, task: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(task.await) }, timeout).await
}
