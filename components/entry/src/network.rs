//! Connections to the other entries, and messages that wait for a connection.

use crate::{Config, Engine, Peers, registry::Connector, spawn::spawn};
use async_channel::Receiver;
use dispatch::{Event, Message};
use link::{Incoming, Node, Traffic};
use membership::rendezvous;
use parking_lot::Mutex;
use platform::registry::Entry;
use site::id::{EntryId, Home};
use smol::Timer;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, OnceLock, Weak},
    time::Duration,
};

/// Maximum number of messages that wait for a connection to one peer; further ones are dropped.
const MAX_PENDING_MESSAGES: usize = 256;

/// Time until messages that wait for a connection are dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until the decision logic is notified that a message to a peer of unknown address is lost.
/// The delay keeps the logic from sending another message in response at once.
const UNKNOWN_PEER_DELAY: Duration = Duration::from_millis(100);

/// The node with its connections, and the addresses of entries without one.
pub(crate) struct Network {
    me: Home,
    node: Node<Message>,
    /// Listening addresses of processes, as last reported by the registry or by themselves. Never
    /// pruned, since registrations may expire while the platform is unavailable.
    directory: Mutex<HashMap<EntryId, (Home, SocketAddr)>>,
    /// Messages for peers whose connection is being established. Each key has a spawned task that
    /// drops its messages after a timeout.
    pending: Mutex<HashMap<Home, Vec<Message>>>,
    engine: OnceLock<Weak<Engine>>,
}

impl Network {
    /// Wraps `node`, which runs in the process `me`.
    pub(crate) fn new(me: Home, node: Node<Message>) -> Network {
        Network {
            me,
            node,
            directory: Mutex::default(),
            pending: Mutex::default(),
            engine: OnceLock::new(),
        }
    }

    /// Sets the engine that is notified of lost messages.
    pub(crate) fn bind(&self, engine: &Arc<Engine>) {
        // Bound once, by the `Process` that creates both.
        let _ = self.engine.set(Arc::downgrade(engine));
    }

    /// Returns the address on which other entries reach this one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.node.address()
    }

    /// Connects to the seed entries from the daemon's settings.
    pub(crate) fn connect_seeds(&self, seeds: impl IntoIterator<Item = (EntryId, SocketAddr)>) {
        for (entry, address) in seeds {
            self.node.connect(entry, address);
        }
    }

    /// Returns the traffic counters.
    pub(crate) fn traffic(&self) -> Traffic {
        self.node.traffic()
    }

    /// Closes all connections once queued messages are delivered.
    pub(crate) async fn close(&self) {
        self.node.close().await;
    }

    /// Handles connection events and messages until the node is closed.
    pub(crate) async fn receive(
        self: Arc<Self>,
        incoming: Receiver<Incoming<Message>>,
        engine: Arc<Engine>,
        config: Arc<Config>,
    ) {
        while let Ok(incoming) = incoming.recv().await {
            match incoming {
                Incoming::Up { peer } => {
                    tracing::info!(%peer, "connected");
                    self.record_address(peer);
                    engine.post(Event::PeerUp { peer });
                    self.flush_pending(peer);
                }
                Incoming::Down { peer } => {
                    tracing::info!(%peer, "connection lost");
                    config.remove_peer(peer);
                    engine.post(Event::PeerDown { peer });
                }
                Incoming::Message { from, message } => route(&engine, &config, from, message),
                Incoming::Failed { address, error } => {
                    tracing::debug!(%address, %error, "connection failed");
                }
            }
        }
    }

    /// Sends the messages that waited for a connection to `peer`.
    fn flush_pending(&self, peer: Home) {
        let pending = self.pending.lock().remove(&peer);
        for message in pending.into_iter().flatten() {
            self.transmit(peer, &message);
        }
    }

    fn transmit(&self, to: Home, message: &Message) {
        if let Err(error) = self.node.send(to, message) {
            tracing::warn!(%to, %error, "message dropped");
        }
    }

    /// Queues a message and connects to its recipient if the address is known.
    fn queue(&self, to: Home, message: Message) {
        let mut pending = self.pending.lock();
        let first = !pending.contains_key(&to);
        let messages = pending.entry(to).or_default();
        if messages.len() < MAX_PENDING_MESSAGES {
            messages.push(message);
        }
        drop(pending);
        if first {
            let address = self.directory.lock().get(&to.entry).copied();
            match address.filter(|(home, _)| *home == to) {
                Some((_, address)) => {
                    self.node.connect(to.entry, address);
                    self.expire_pending(to, CONNECT_TIMEOUT);
                }
                None => self.expire_pending(to, UNKNOWN_PEER_DELAY),
            }
        }
    }

    /// Records the listening address that a connected peer reports.
    fn record_address(&self, peer: Home) {
        if let Some(address) = self.node.addresses(peer).first() {
            self.directory.lock().insert(peer.entry, (peer, *address));
        }
    }

    /// After `after`, drops the messages that still wait for `peer` and notifies the decision
    /// logic.
    fn expire_pending(&self, peer: Home, after: Duration) {
        let Some(engine) = self.engine.get().and_then(Weak::upgrade) else { return };
        spawn(async move {
            Timer::after(after).await;
            if engine.cancel_connect(peer) {
                engine.post(Event::PeerDown { peer });
            }
        });
    }

    /// Returns the entries to stay connected to: all of this data centre, and a few of each other
    /// data centre.
    fn neighbours(&self, entries: &[Entry]) -> Vec<EntryId> {
        let mut data_centres: BTreeMap<_, Vec<Home>> = BTreeMap::new();
        for home in entries.iter().map(|entry| entry.home).chain([self.me]) {
            data_centres.entry(home.data_centre).or_default().push(home);
        }
        let ours = data_centres.remove(&self.me.data_centre).unwrap_or_default();
        let across =
            data_centres.values().flat_map(|theirs| rendezvous::heartbeat_pairs(&ours, theirs));
        let across = across.filter(|(own, _)| *own == self.me).map(|(_, peer)| peer);
        ours.iter().copied().chain(across).map(|home| home.entry).collect()
    }
}

impl Connector for Network {
    fn connect(&self, entries: &[Entry]) {
        let mut directory = self.directory.lock();
        for entry in entries {
            directory.insert(entry.home.entry, (entry.home, entry.quic));
        }
        drop(directory);
        let neighbours = self.neighbours(entries);
        for entry in entries.iter().filter(|entry| neighbours.contains(&entry.home.entry)) {
            self.node.connect(entry.home.entry, entry.quic);
        }
    }
}

impl Peers for Network {
    fn send(&self, to: Home, message: Message) {
        match self.node.send(to, &message) {
            Ok(()) => {}
            Err(link::Error::NotConnected(_)) => self.queue(to, message),
            Err(error) => tracing::warn!(%to, %error, "message dropped"),
        }
    }

    fn connected(&self) -> Vec<Home> {
        self.node.peers()
    }

    fn cancel_connect(&self, peer: Home) -> bool {
        let pending = self.pending.lock().remove(&peer);
        pending.is_some() || !self.node.peers().contains(&peer)
    }
}

/// Routes a message to the settings replication or to the decision logic.
fn route(engine: &Arc<Engine>, config: &Arc<Config>, from: Home, message: Message) {
    engine.metrics().record_received(&message);
    match message {
        Message::SettingsWanted { have } => config.handle_request(from, have),
        Message::Settings(part) => config.handle_part(from, part),
        Message::Heartbeat(beat) => {
            config.handle_heartbeat(from, beat.revision, beat.draining);
            engine.post(Event::Message { from, message: Message::Heartbeat(beat) });
        }
        message => engine.post(Event::Message { from, message }),
    }
}
