//! Measures connections between entries that carry heartbeats, and the cost of a small message.

use super::Sink;
use crate::{
    Error, Point, Probe, Quantity,
    fake::{load::home, peers},
    measure::{heap, process_time},
};
use async_channel::Receiver;
use dispatch::{Message, message::Usage};
use link::{
    Incoming, Node, Options,
    tls::{
        Identity,
        issue::{Authority, ENTRY_LIFETIME},
    },
};
use site::{
    id::{FirmId, Home, ServiceId},
    unit::Slots,
};
use smol::{Timer, block_on};
use std::time::Duration;

const CONNECTIONS: [usize; 3] = [1, 4, 16];

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Heartbeats per peer before the measurement, while path MTU discovery runs, and during it.
const HEARTBEATS: (u32, u32) = (6, 20);

/// Rounds of small messages, of which the fastest counts.
const ROUNDS: u32 = 10;

/// Messages of a round.
const MESSAGES_PER_ROUND: u32 = 20_000;

/// Messages sent before their arrival is awaited.
const BURST_MESSAGES: u32 = 100;

/// Longest wait for all connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

struct Peer {
    home: Home,
    node: Node<Message>,
    incoming: Receiver<Incoming<Message>>,
}

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    let authority = Authority::create()?;
    CONNECTIONS.into_iter().try_for_each(|count| sink(block_on(point(&authority, count))?))
}

/// Measures `count` connections. Both ends are in this process, so time and memory are halved.
async fn point(authority: &Authority, count: usize) -> Result<Point, Error> {
    let hub = start(authority, home(0, 0))?;
    let spokes: Vec<Peer> =
        (1..=count).map(|number| start(authority, home(0, number))).collect::<Result<_, _>>()?;
    let before = heap();
    for spoke in &spokes {
        spoke.node.connect(hub.home.entry, hub.node.address());
    }
    let found = await_peers(&hub, count).await;
    if found != count {
        let (expected, found) = (count as u64, found as u64);
        return Err(Error::Unexpected { probe: Probe::Connection, expected, found });
    }
    exchange_heartbeats(&hub, &spokes, HEARTBEATS.0).await;
    let ends = 2.0 * count as f64;
    let grown = (heap() - before) / ends;
    let (time, sent) = (process_time(), hub.node.traffic().datagram_bytes_out);
    exchange_heartbeats(&hub, &spokes, HEARTBEATS.1).await;
    let seconds = (HEARTBEAT_INTERVAL * HEARTBEATS.1).as_secs_f64();
    let spent = (process_time() - time) as f64 / ends / seconds;
    let bytes = (hub.node.traffic().datagram_bytes_out - sent) as f64 / count as f64 / seconds;
    let values = [
        (Quantity::UdpBytesPerSecond, bytes),
        (Quantity::CpuNsPerSecond, spent),
        (Quantity::HeapBytes, grown),
        (Quantity::MessageNs, message_time(&hub, &spokes[0]).await?),
    ];
    for peer in spokes.iter().chain([&hub]) {
        peer.node.close().await;
    }
    Ok(Point::new(Probe::Connection, count, values))
}

fn start(authority: &Authority, home: Home) -> Result<Peer, Error> {
    let pair = authority.issue(home.entry, ENTRY_LIFETIME)?;
    let identity = Identity::from_pem(&authority.pair.certificate, &pair.certificate, &pair.key)?;
    let (node, incoming) = Node::start(Options::new(home, ([127, 0, 0, 1], 0).into(), identity))?;
    Ok(Peer { home, node, incoming })
}

/// Waits until `count` peers are connected, at most [`CONNECT_TIMEOUT`], and returns how many are.
async fn await_peers(hub: &Peer, count: usize) -> usize {
    let pause = Duration::from_millis(20);
    let mut waited = Duration::ZERO;
    while hub.node.peers().len() < count && waited < CONNECT_TIMEOUT {
        Timer::after(pause).await;
        waited += pause;
    }
    hub.node.peers().len()
}

/// Returns the processor time per small message, in nanoseconds, of the fastest round.
async fn message_time(from: &Peer, to: &Peer) -> Result<f64, Error> {
    let running = Slots(40);
    let usage = Usage { service: ServiceId(0), firm: FirmId::of("firm-1"), running };
    let message = Message::Usage(usage);
    let mut least = f64::INFINITY;
    for _ in 0..ROUNDS {
        let before = process_time();
        for _ in 0..MESSAGES_PER_ROUND / BURST_MESSAGES {
            (0..BURST_MESSAGES).try_for_each(|_| from.node.send(to.home, &message))?;
            await_messages(to, BURST_MESSAGES).await?;
        }
        least = least.min((process_time() - before) as f64 / f64::from(MESSAGES_PER_ROUND));
    }
    Ok(least)
}

async fn await_messages(peer: &Peer, count: u32) -> Result<(), Error> {
    let mut arrived = 0;
    while arrived < count {
        let Ok(incoming) = peer.incoming.recv().await else {
            let (expected, found) = (u64::from(count), u64::from(arrived));
            return Err(Error::Unexpected { probe: Probe::Connection, expected, found });
        };
        arrived += u32::from(matches!(incoming, Incoming::Message { .. }));
    }
    Ok(())
}

/// Sends `count` heartbeats in both directions of each connection.
async fn exchange_heartbeats(hub: &Peer, spokes: &[Peer], count: u32) {
    let message = peers::heartbeat(100);
    for _ in 0..count {
        for spoke in spokes {
            // A lost peer shows in the number of bytes sent.
            let _ = hub.node.send(spoke.home, &message);
            let _ = spoke.node.send(hub.home, &message);
        }
        Timer::after(HEARTBEAT_INTERVAL).await;
        for peer in spokes.iter().chain([hub]) {
            while peer.incoming.try_recv().is_ok() {}
        }
    }
}
