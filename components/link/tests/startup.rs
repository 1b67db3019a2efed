//! Nodes that start at the same time: each pair should establish one connection.

mod common;

use common::{Peer, options};
use futures_lite::future;
use link::{Incoming, tls::issue::Authority};
use smol::{Timer, block_on};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, OnceLock},
    thread,
    time::{Duration, Instant},
};

/// Delay that is longer than any test.
const LONG_DELAY: Duration = Duration::from_secs(600);

fn peers() -> (Peer, Peer) {
    let authority = Authority::create().expect("an authority");
    (Peer::new(&authority, 1), Peer::new(&authority, 2))
}

#[test]
fn a_delayed_node_is_connected_to_by_its_peer() {
    block_on(async {
        let (one, two) = peers();
        one.node.connect_after(two.home.entry, two.node.address(), LONG_DELAY);
        two.connect(&one);
        assert_eq!((one.up().await, two.up().await), (two.home, one.home));
    });
}

#[test]
fn a_node_connects_after_its_delay() {
    block_on(async {
        let (one, two) = peers();
        one.node.connect_after(two.home.entry, two.node.address(), Duration::from_millis(50));
        assert_eq!((one.up().await, two.up().await), (two.home, one.home));
    });
}

/// An attempt without a response retransmits its packets. It must not replace the connection that
/// the peer has established meanwhile.
#[test]
fn an_attempt_ends_when_the_peer_has_connected() {
    block_on(async {
        let authority = Authority::create().expect("an authority");
        let hasty = |entry| {
            let mut options = options(&authority, common::home(entry, 1));
            options.handshake_timeout = Duration::from_millis(400);
            Peer::start(options)
        };
        // Of two simultaneous connections, that of the smaller home is kept.
        let (one, two) = (hasty(2), hasty(1));
        let silent = UdpSocket::bind(common::loopback()).expect("a socket");
        one.node.connect(two.home.entry, silent.local_addr().expect("an address"));
        two.connect(&one);
        assert_eq!((one.up().await, two.up().await), (two.home, one.home));
        let event = async { Some(one.incoming.recv().await) };
        let quiet = async {
            Timer::after(Duration::from_millis(600)).await;
            None
        };
        let event = future::or(event, quiet).await;
        assert!(!matches!(event, Some(Ok(Incoming::Failed { .. }))), "the attempt went on");
        assert_eq!(one.node.peers(), [two.home]);
    });
}

/// Both ends connect at the same time: at most one connection may be replaced.
#[test]
fn simultaneous_connects_establish_at_most_two_connections() {
    block_on(async {
        for _ in 0..30 {
            let (one, two) = peers();
            one.connect(&two);
            two.connect(&one);
            while one.node.peers().is_empty() || two.node.peers().is_empty() {
                Timer::after(Duration::from_millis(5)).await;
            }
            Timer::after(Duration::from_millis(50)).await;
            let made = (one.node.traffic().connections, two.node.traffic().connections);
            assert!(made.0 <= 2 && made.1 <= 2, "{made:?} connections came up");
        }
    });
}

/// Forwards datagrams to `to` and back. Those of the first half second to `to` are delayed.
fn slow_relay(to: SocketAddr) -> SocketAddr {
    let outer = UdpSocket::bind(common::loopback()).expect("a socket");
    let inner = UdpSocket::bind(common::loopback()).expect("a socket");
    let address = outer.local_addr().expect("an address");
    let sender = Arc::new(OnceLock::new());
    let (back, known) = (outer.try_clone().expect("a socket"), sender.clone());
    let way_back = inner.try_clone().expect("a socket");
    thread::spawn(move || {
        let mut datagram = [0; 2_048];
        while let Ok((length, _)) = way_back.recv_from(&mut datagram) {
            if let Some(sender) = known.get() {
                back.send_to(&datagram[..length], sender).expect("it is sent");
            }
        }
    });
    thread::spawn(move || {
        let begun = Instant::now();
        let mut datagram = [0; 2_048];
        while let Ok((length, from)) = outer.recv_from(&mut datagram) {
            thread::sleep(Duration::from_millis(500).saturating_sub(begun.elapsed()));
            sender.get_or_init(|| from);
            inner.send_to(&datagram[..length], to).expect("it is sent");
        }
    });
    address
}

/// A connection whose handshake takes long must not replace one in use, although it is that of the
/// smaller home, which is kept if both are established simultaneously.
#[test]
fn a_connection_in_use_is_not_replaced_by_a_slow_one() {
    block_on(async {
        let (one, two) = peers();
        one.node.connect(two.home.entry, slow_relay(two.node.address()));
        two.connect(&one);
        assert_eq!((one.up().await, two.up().await), (two.home, one.home));
        Timer::after(Duration::from_millis(1_500)).await;
        let made = (one.node.traffic().connections, two.node.traffic().connections);
        assert_eq!(made, (1, 1));
    });
}
