//! Connections to the other entries.

use crate::{Config, Engine, Peers, registry::Meet, spawn::spawn};
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

/// Messages that wait for one peer's connection.
const MAX_HELD: usize = 256;

/// Longest time that a message waits for a connection.
const HELD_FOR: Duration = Duration::from_secs(1);

/// Time until the loss of a message to a peer that can't be found is told. Not at once, since the
/// logic may send another in answer.
const UNKNOWN_FOR: Duration = Duration::from_millis(100);

/// The node, and where entries without a connection are to be found.
pub(crate) struct Network {
    me: Home,
    node: Node<Message>,
    /// Where processes listen, as the registry or they themselves last said. Never forgets, as registrations may
    /// lapse while the platform is out.
    directory: Mutex<HashMap<EntryId, (Home, SocketAddr)>>,
    /// Messages for peers whose connection is being made. A peer is here only while a task waits
    /// to drop them.
    held: Mutex<HashMap<Home, Vec<Message>>>,
    engine: OnceLock<Weak<Engine>>,
}

impl Network {
    /// The connections of `node`, which is the process `me`.
    pub(crate) fn new(me: Home, node: Node<Message>) -> Network {
        Network {
            me,
            node,
            directory: Mutex::default(),
            held: Mutex::default(),
            engine: OnceLock::new(),
        }
    }

    /// Names the engine that hears of lost messages.
    pub(crate) fn bind(&self, engine: &Arc<Engine>) {
        // Bound once, by the process that made both.
        let _ = self.engine.set(Arc::downgrade(engine));
    }

    /// Where other entries find this one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.node.address()
    }

    /// Connects to entries that are known from elsewhere than the registry.
    pub(crate) fn meet_seeds(&self, seeds: impl IntoIterator<Item = (EntryId, SocketAddr)>) {
        for (entry, address) in seeds {
            self.node.connect(entry, address);
        }
    }

    /// What went in and out.
    pub(crate) fn traffic(&self) -> Traffic {
        self.node.traffic()
    }

    /// Closes all connections once queued messages have arrived.
    pub(crate) async fn close(&self) {
        self.node.close().await;
    }

    /// Takes in what the node reports until it is closed.
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
                    self.locate(peer);
                    engine.post(Event::PeerUp { peer });
                    self.release(peer);
                }
                Incoming::Down { peer } => {
                    tracing::info!(%peer, "connection lost");
                    config.lost(peer);
                    engine.post(Event::PeerDown { peer });
                }
                Incoming::Message { from, message } => take(&engine, &config, from, message),
                Incoming::Failed { address, error } => {
                    tracing::debug!(%address, %error, "connection failed");
                }
            }
        }
    }

    /// Sends what waited for a connection to `peer`.
    fn release(&self, peer: Home) {
        let held = self.held.lock().remove(&peer);
        for message in held.into_iter().flatten() {
            self.transmit(peer, &message);
        }
    }

    fn transmit(&self, to: Home, message: &Message) {
        if let Err(error) = self.node.send(to, message) {
            tracing::warn!(%to, %error, "message dropped");
        }
    }

    /// Keeps a message while a connection for it is made, if the peer can be found.
    fn hold(&self, to: Home, message: Message) {
        let mut held = self.held.lock();
        let first = !held.contains_key(&to);
        let messages = held.entry(to).or_default();
        if messages.len() < MAX_HELD {
            messages.push(message);
        }
        drop(held);
        if first {
            let address = self.directory.lock().get(&to.entry).copied();
            match address.filter(|(home, _)| *home == to) {
                Some((_, address)) => {
                    self.node.connect(to.entry, address);
                    self.lose(to, HELD_FOR);
                }
                None => self.lose(to, UNKNOWN_FOR),
            }
        }
    }

    /// Notes where a connected peer says that it listens.
    fn locate(&self, peer: Home) {
        if let Some(address) = self.node.addresses(peer).first() {
            self.directory.lock().insert(peer.entry, (peer, *address));
        }
    }

    /// After a while, drops what still waits for `peer` and tells the logic.
    fn lose(&self, peer: Home, after: Duration) {
        let Some(engine) = self.engine.get().and_then(Weak::upgrade) else { return };
        spawn(async move {
            Timer::after(after).await;
            if engine.abandon_peer(peer) {
                engine.post(Event::PeerDown { peer });
            }
        });
    }

    /// The entries to keep connections to: all of this data centre, and a few of each other.
    fn neighbours(&self, entries: &[Entry]) -> Vec<EntryId> {
        let mut zones: BTreeMap<_, Vec<Home>> = BTreeMap::new();
        for home in entries.iter().map(|entry| entry.home).chain([self.me]) {
            zones.entry(home.data_centre).or_default().push(home);
        }
        let ours = zones.remove(&self.me.data_centre).unwrap_or_default();
        let across = zones.values().flat_map(|theirs| rendezvous::heartbeat_pairs(&ours, theirs));
        let across = across.filter(|(own, _)| *own == self.me).map(|(_, peer)| peer);
        ours.iter().copied().chain(across).map(|home| home.entry).collect()
    }
}

impl Meet for Network {
    fn meet(&self, entries: &[Entry]) {
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
            Err(link::Error::NotConnected(_)) => self.hold(to, message),
            Err(error) => tracing::warn!(%to, %error, "message dropped"),
        }
    }

    fn connected(&self) -> Vec<Home> {
        self.node.peers()
    }

    fn abandon(&self, peer: Home) -> bool {
        let held = self.held.lock().remove(&peer);
        held.is_some() || !self.node.peers().contains(&peer)
    }
}

/// Hands a message to whom it is for.
fn take(engine: &Arc<Engine>, config: &Arc<Config>, from: Home, message: Message) {
    engine.metrics().received(&message);
    match message {
        Message::SettingsWanted { have } => config.wanted(from, have),
        Message::Settings(part) => config.received(from, part),
        Message::Heartbeat(beat) => {
            config.heard(from, beat.revision, beat.draining);
            engine.post(Event::Message { from, message: Message::Heartbeat(beat) });
        }
        message => engine.post(Event::Message { from, message }),
    }
}
