//! Malicious, unresponsive and restarted peers.

mod common;

use common::{Peer, home, identity, loopback, numbered, options};
use dispatch::Message;
use link::{Code, Incoming, Options, tls, tls::issue::Authority};
use quinn::{Connection, Endpoint, EndpointConfig, SmolRuntime};
use site::id::{EntryId, Home};
use smol::{Timer, block_on, net::UdpSocket};
use std::{
    net::{self, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    time::Duration,
};
use wire::{Frame, Hello, Limit, VERSION};

fn authority() -> Authority {
    Authority::create().expect("an authority")
}

/// Connects to `target` with a valid certificate through quinn, without a node.
async fn raw(authority: &Authority, target: &Peer) -> (Endpoint, Connection) {
    let socket = net::UdpSocket::bind(loopback()).expect("a socket");
    let endpoint = Endpoint::new(EndpointConfig::default(), None, socket, Arc::new(SmolRuntime));
    let endpoint = endpoint.expect("an endpoint");
    let client = identity(authority, 1).client(Arc::default()).expect("valid");
    let name = tls::dns_name(target.home.entry);
    let connecting = endpoint.connect_with(client, target.node.address(), &name);
    let connection = connecting.expect("it is tried").await.expect("it is trusted");
    (endpoint, connection)
}

fn hello(home: Home) -> Vec<u8> {
    let mut bytes = Vec::new();
    let frame = Frame::new(Hello { home, addresses: vec![] });
    frame.encode(Limit::default(), &mut bytes).expect("it fits");
    bytes
}

/// Returns the code with which a node closes the connection after these bytes, and its events.
async fn answer_to(bytes: &[u8]) -> (Code, Vec<Incoming<Message>>) {
    let authority = authority();
    let target = Peer::start(Options {
        limit: Limit::new(1 << 16).expect("in bounds"),
        ..options(&authority, home(2, 1))
    });
    let (_endpoint, connection) = raw(&authority, &target).await;
    let mut stream = connection.open_uni().await.expect("a stream");
    stream.write_all(bytes).await.expect("it is open");
    let quinn::ConnectionError::ApplicationClosed(close) = connection.closed().await else {
        panic!("expected a close code");
    };
    let mut events = vec![target.next().await];
    if matches!(events[0], Incoming::Up { .. }) {
        while !matches!(events.last(), Some(Incoming::Down { .. })) {
            events.push(target.next().await);
        }
    }
    (close.error_code.into(), events)
}

#[test]
fn a_malformed_frame_closes_the_connection() {
    block_on(async {
        let garbage = [&hello(home(1, 1))[..], &[2, 0, 0, 0, VERSION, 120]].concat();
        let (code, events) = answer_to(&garbage).await;
        assert_eq!(code, Code::Malformed);
        assert!(matches!(events[..], [Incoming::Up { .. }, Incoming::Down { .. }]));
    });
}

#[test]
fn messages_before_a_malformed_frame_arrive() {
    block_on(async {
        let mut bytes = hello(home(1, 1));
        wire::frame::append(&numbered(1), Limit::default(), &mut bytes).expect("it fits");
        bytes.extend([0, 0, 0, 0]);
        let (code, events) = answer_to(&bytes).await;
        assert_eq!(code, Code::Malformed);
        assert!(matches!(events[1], Incoming::Message { .. }));
    });
}

#[test]
fn another_protocol_version_closes_the_connection() {
    block_on(async {
        let mut bytes = hello(home(1, 1));
        bytes[wire::frame::PREFIX_BYTES] = VERSION + 1;
        assert_eq!(answer_to(&bytes).await.0, Code::Version);
    });
}

#[test]
fn a_length_above_the_limit_closes_the_connection() {
    block_on(async {
        let bytes = [&hello(home(1, 1))[..], &u32::MAX.to_le_bytes()].concat();
        assert_eq!(answer_to(&bytes).await.0, Code::TooLarge);
    });
}

#[test]
fn a_hello_for_another_entry_closes_the_connection() {
    block_on(async {
        let (code, events) = answer_to(&hello(home(3, 1))).await;
        assert_eq!(code, Code::Identity);
        assert!(matches!(events[..], [Incoming::Failed { .. }]));
    });
}

#[test]
fn a_missing_hello_closes_the_connection() {
    block_on(async {
        let authority = authority();
        let target = Peer::start(Options {
            handshake_timeout: Duration::from_millis(200),
            ..options(&authority, home(2, 1))
        });
        let (_endpoint, connection) = raw(&authority, &target).await;
        let quinn::ConnectionError::ApplicationClosed(close) = connection.closed().await else {
            panic!("expected a close code");
        };
        assert_eq!(Code::from(close.error_code), Code::NoHello);
    });
}

/// Forwards datagrams between one peer and `target` until `cut` is set.
struct Relay {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    _task: smol::Task<()>,
}

impl Relay {
    async fn new(target: SocketAddr) -> Self {
        let socket = UdpSocket::bind(loopback()).await.expect("a socket");
        let address = socket.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let task = smol::spawn(pass(socket, target, cut.clone()));
        Self { address, cut, _task: task }
    }
}

async fn pass(socket: UdpSocket, target: SocketAddr, cut: Arc<AtomicBool>) {
    let mut buffer = vec![0; 1 << 16];
    let mut client = None;
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let to = match from == target {
            true => client,
            false => Some(target),
        };
        client = if from == target { client } else { Some(from) };
        if let (Some(to), false) = (to, cut.load(SeqCst)) {
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}

#[test]
fn both_ends_detect_a_connection_without_packets() {
    block_on(async {
        let authority = authority();
        let quick = |entry| Options {
            idle_timeout: Duration::from_millis(500),
            keep_alive: Duration::from_millis(100),
            ..options(&authority, home(entry, 1))
        };
        let (one, two) = (Peer::start(quick(1)), Peer::start(quick(2)));
        let relay = Relay::new(two.node.address()).await;
        one.node.connect(two.home.entry, relay.address);
        assert_eq!(one.up().await, two.home);
        assert_eq!(two.up().await, one.home);
        relay.cut.store(true, SeqCst);
        one.send(&two, 1);
        assert_eq!(one.down().await, two.home);
        assert_eq!(two.down().await, one.home);
        one.node.connect(two.home.entry, two.node.address());
        assert_eq!(one.up().await, two.home);
        assert_eq!(two.up().await, one.home);
        one.send(&two, 2);
        assert_eq!(two.message().await, (one.home, 2));
    });
}

/// Tasks would be sent to a peer that is cut off until its connection is lost.
#[test]
fn a_peer_that_acknowledges_nothing_is_unresponsive_before_its_connection_is_lost() {
    block_on(async {
        let authority = authority();
        let (one, two) = (Peer::new(&authority, 1), Peer::new(&authority, 2));
        let relay = Relay::new(two.node.address()).await;
        one.node.connect(two.home.entry, relay.address);
        assert_eq!(one.up().await, two.home);
        assert_eq!(two.up().await, one.home);
        relay.cut.store(true, SeqCst);
        one.send(&two, 1);
        let limit = Duration::from_millis(200);
        while !one.node.unresponsive(limit).contains(&two.home) {
            assert!(one.node.peers().contains(&two.home), "the connection was lost first");
            Timer::after(limit / 10).await;
        }
        assert!(one.node.unresponsive(limit).is_empty(), "it is reported once");
    });
}

/// A peer that only reads acknowledges what it gets, and is no reason to send tasks elsewhere.
#[test]
fn a_peer_that_sends_nothing_but_acknowledgements_is_responsive() {
    block_on(async {
        let authority = authority();
        // No probes of idle connections, which would be answered.
        let quiet = |entry| Options {
            idle_timeout: Duration::from_secs(20),
            keep_alive: Duration::from_secs(10),
            ..options(&authority, home(entry, 1))
        };
        let (one, two) = (Peer::start(quiet(1)), Peer::start(quiet(2)));
        one.connect(&two);
        assert_eq!(one.up().await, two.home);
        assert_eq!(two.up().await, one.home);
        // Long enough that a packet is acknowledged in time on a busy machine.
        let limit = Duration::from_millis(400);
        for number in 0..4 {
            one.send(&two, number);
            assert_eq!(two.message().await, (one.home, number));
            for _ in 0..60 {
                Timer::after(limit / 50).await;
                assert!(one.node.unresponsive(limit).is_empty(), "after message {number}");
            }
        }
    });
}

#[test]
fn a_restarted_peer_connects_with_its_new_incarnation() {
    block_on(async {
        let authority = authority();
        let (one, two) = common::pair(&authority).await;
        let address = two.node.address();
        two.node.close().await;
        drop(two);
        assert_eq!(one.down().await, home(2, 1));
        let again = Options { listen: address, ..options(&authority, home(2, 2)) };
        let two = restart(again).await;
        assert_eq!(one.up().await, home(2, 2));
        assert_eq!(two.up().await, one.home);
        one.send(&two, 1);
        assert_eq!(two.message().await, (one.home, 1));
    });
}

/// Starts a node on the address of an earlier one, whose socket may still be open for a moment.
async fn restart(options: Options) -> Peer {
    let home = options.home;
    loop {
        match link::Node::<Message>::start(options.clone()) {
            Ok((node, incoming)) => return Peer { home, node, incoming },
            Err(link::Error::Listen { .. }) => smol::future::yield_now().await,
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn connecting_to_an_unresponsive_address_is_retried() {
    block_on(async {
        let authority = authority();
        let one = Peer::start(Options {
            handshake_timeout: Duration::from_millis(100),
            ..options(&authority, home(1, 1))
        });
        let nobody = net::UdpSocket::bind(loopback()).expect("a socket");
        let address = nobody.local_addr().expect("an address");
        one.node.connect(EntryId(2), address);
        for _ in 0..3 {
            one.failed().await;
        }
        drop(nobody);
        let two = restart(Options { listen: address, ..options(&authority, home(2, 1)) }).await;
        assert_eq!(one.up().await, two.home);
    });
}
