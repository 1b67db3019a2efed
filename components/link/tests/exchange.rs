//! Messages between nodes that trust each other.

mod common;

use common::{Peer, home, large, numbered, options, pair};
use futures_lite::future;
use link::{Error, Incoming, tls::issue::Authority};
use site::{id::Home, unit::Memory};
use smol::block_on;

fn authority() -> Authority {
    Authority::create().expect("an authority")
}

#[test]
fn messages_arrive_in_order_both_ways() {
    block_on(async {
        let (one, two) = pair(&authority()).await;
        for number in 0..1_000 {
            one.send(&two, number);
            two.send(&one, number);
        }
        for number in 0..1_000 {
            assert_eq!(two.message().await, (one.home, number));
            assert_eq!(one.message().await, (two.home, number));
        }
        let (out, arrived) = (one.node.traffic(), two.node.traffic());
        assert_eq!((out.messages_out, arrived.messages_in), (1_000, 1_000));
        assert!(out.datagram_bytes_out > out.bytes_out && out.bytes_out > 0);
        assert_eq!(two.node.addresses(one.home), [one.node.address()]);
    });
}

#[test]
fn three_nodes_form_a_mesh() {
    block_on(async {
        let authority = authority();
        let peers: Vec<_> = (1..=3).map(|entry| Peer::new(&authority, entry)).collect();
        for one in &peers {
            peers.iter().for_each(|other| one.connect(other));
        }
        for one in &peers {
            wait_for_peers(one, 2).await;
        }
        for one in &peers {
            for other in peers.iter().filter(|other| other.home != one.home) {
                send_until_up(one, other).await;
            }
        }
    });
}

/// Reads events until `count` peers are connected.
async fn wait_for_peers(peer: &Peer, count: usize) {
    while peer.node.peers().len() < count {
        peer.next().await;
    }
}

/// Sends a message until it arrives. Simultaneous connects may replace a connection; the sender
/// then gets `Down` for the one that it used.
async fn send_until_up(from: &Peer, to: &Peer) {
    loop {
        let sent = from.node.send(to.home, &numbered(7)).is_ok();
        if sent && arrives_before_down(from, to).await {
            return;
        }
        if !sent {
            from.next().await;
        }
    }
}

async fn arrives_before_down(from: &Peer, to: &Peer) -> bool {
    loop {
        let sender = async { (true, from.next().await) };
        let receiver = async { (false, to.next().await) };
        match future::or(receiver, sender).await {
            (true, Incoming::Down { peer }) if peer == to.home => return false,
            (false, Incoming::Message { from: sender, .. }) if sender == from.home => return true,
            _ => {}
        }
    }
}

#[test]
fn simultaneous_connects_leave_one_connection() {
    block_on(async {
        let authority = authority();
        for _ in 0..10 {
            let (one, two) = (Peer::new(&authority, 1), Peer::new(&authority, 2));
            one.connect(&two);
            two.connect(&one);
            // The messages arrive, whichever connection was replaced before.
            send_until_up(&one, &two).await;
            send_until_up(&two, &one).await;
            wait_for_peers(&one, 1).await;
            wait_for_peers(&two, 1).await;
            assert_eq!(one.node.peers(), [two.home]);
            assert_eq!(two.node.peers(), [one.home]);
        }
    });
}

#[test]
fn a_frame_below_the_limit_is_sent_and_one_above_is_rejected() {
    block_on(async {
        let (one, two) = pair(&authority()).await;
        let near = large(wire::MAX_FRAME_BYTES - 64);
        one.node.send(two.home, &near).expect("it fits");
        match two.next().await {
            Incoming::Message { message, .. } => assert!(message == near),
            other => panic!("expected the message, got {other:?}"),
        }
        let refusal = one.node.send(two.home, &large(wire::MAX_FRAME_BYTES));
        assert!(matches!(refusal, Err(Error::Frame(wire::Error::TooLarge { .. }))));
        one.send(&two, 1);
        assert_eq!(two.message().await, (one.home, 1));
    });
}

#[test]
fn a_peer_that_does_not_read_is_disconnected() {
    block_on(async {
        let authority = authority();
        let one = Peer::start(link::Options {
            queue: Memory(8 << 20),
            ..options(&authority, home(1, 1))
        });
        let two = Peer::start(link::Options { backlog: 2, ..options(&authority, home(2, 1)) });
        two.connect(&one);
        assert_eq!(one.up().await, two.home);
        let block = large(1 << 20);
        let refusal = (0..100).find_map(|_| one.node.send(two.home, &block).err());
        assert!(matches!(refusal, Some(Error::Overflow(peer)) if peer == two.home));
        assert_eq!(one.down().await, two.home);
        assert_eq!(one.node.traffic().overflows, 1);
        assert_eq!(two.up().await, one.home);
        assert_eq!(two.down().await, one.home);
    });
}

#[test]
fn sending_to_an_unknown_peer_is_an_error() {
    block_on(async {
        let (one, _two) = pair(&authority()).await;
        let stranger: Home = home(9, 9);
        let refusal = one.node.send(stranger, &numbered(1));
        assert!(matches!(refusal, Err(Error::NotConnected(peer)) if peer == stranger));
    });
}

#[test]
fn queued_messages_arrive_before_a_close() {
    block_on(async {
        let (one, two) = pair(&authority()).await;
        for number in 0..1_000 {
            one.send(&two, number);
        }
        one.node.close().await;
        for number in 0..1_000 {
            assert_eq!(two.message().await, (one.home, number));
        }
        assert_eq!(two.down().await, one.home);
    });
}

#[test]
fn forget_closes_the_connection_that_this_node_established() {
    block_on(async {
        let (one, two) = pair(&authority()).await;
        one.node.forget(two.home.entry);
        assert_eq!(one.down().await, two.home);
        assert_eq!(two.down().await, one.home);
        assert!(one.node.peers().is_empty());
    });
}
