//! Nodes on loopback with certificates of a new authority.

// Each test file uses only a part.
#![allow(dead_code, unreachable_pub)]

use async_channel::Receiver;
use dispatch::{Message, message::Settings};
use futures_lite::future;
use link::{
    Incoming, Node, Options,
    tls::{
        Identity,
        issue::{Authority, ENTRY_LIFETIME},
    },
};
use site::{
    id::{DataCentreId, EntryId, Home, Incarnation},
    unit::Revision,
};
use smol::Timer;
use std::{net::SocketAddr, time::Duration};

/// Timeout of the wait for one event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

pub struct Peer {
    pub home: Home,
    pub node: Node<Message>,
    pub incoming: Receiver<Incoming<Message>>,
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn home(entry: u64, incarnation: u64) -> Home {
    Home {
        data_centre: DataCentreId(1),
        entry: EntryId(entry),
        incarnation: Incarnation(incarnation),
    }
}

pub fn identity(authority: &Authority, entry: u64) -> Identity {
    let pair = authority.issue(EntryId(entry), ENTRY_LIFETIME).expect("a certificate");
    Identity::from_pem(&authority.pair.certificate, &pair.certificate, &pair.key).expect("valid")
}

pub fn options(authority: &Authority, home: Home) -> Options {
    Options::new(home, loopback(), identity(authority, home.entry.0))
}

impl Peer {
    pub fn start(options: Options) -> Self {
        let home = options.home;
        let (node, incoming) = Node::start(options).expect("it starts");
        Self { home, node, incoming }
    }

    pub fn new(authority: &Authority, entry: u64) -> Self {
        Self::start(options(authority, home(entry, 1)))
    }

    pub fn connect(&self, other: &Peer) {
        self.node.connect(other.home.entry, other.node.address());
    }

    pub async fn next(&self) -> Incoming<Message> {
        let timeout = async {
            Timer::after(EVENT_TIMEOUT).await;
            panic!("{} waits for an event that does not come", self.home)
        };
        let event = async { self.incoming.recv().await.expect("the node runs") };
        future::or(event, timeout).await
    }

    /// Returns the next peer that connects. Only failures may come before.
    pub async fn up(&self) -> Home {
        loop {
            match self.next().await {
                Incoming::Up { peer } => return peer,
                Incoming::Failed { .. } => {}
                other => panic!("expected a connection, got {other:?}"),
            }
        }
    }

    /// Returns the next peer that disconnects. Only messages and failures may come before.
    pub async fn down(&self) -> Home {
        loop {
            match self.next().await {
                Incoming::Down { peer } => return peer,
                Incoming::Message { .. } | Incoming::Failed { .. } => {}
                other => panic!("expected a loss, got {other:?}"),
            }
        }
    }

    pub async fn failed(&self) -> link::Error {
        match self.next().await {
            Incoming::Failed { error, .. } => error,
            other => panic!("expected a failure, got {other:?}"),
        }
    }

    /// Returns the sender and the number of the next message.
    pub async fn message(&self) -> (Home, u64) {
        match self.next().await {
            Incoming::Message { from, message } => (from, number_of(&message)),
            other => panic!("expected a message, got {other:?}"),
        }
    }

    pub fn send(&self, to: &Peer, number: u64) {
        self.node.send(to.home, &numbered(number)).expect("it is connected");
    }
}

pub fn numbered(number: u64) -> Message {
    Message::SettingsWanted { have: Revision(number) }
}

fn number_of(message: &Message) -> u64 {
    match message {
        Message::SettingsWanted { have } => have.0,
        other => panic!("expected a number, got {other:?}"),
    }
}

pub fn large(bytes: usize) -> Message {
    let file = ("large.json".into(), vec![b' '; bytes]);
    Message::Settings(Settings { revision: Revision(1), files: vec![file], ..Settings::default() })
}

/// Returns two connected peers.
pub async fn pair(authority: &Authority) -> (Peer, Peer) {
    let (one, two) = (Peer::new(authority, 1), Peer::new(authority, 2));
    one.connect(&two);
    assert_eq!(one.up().await, two.home);
    assert_eq!(two.up().await, one.home);
    (one, two)
}
