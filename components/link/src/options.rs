//! Options of a node.

use crate::tls::Identity;
use quinn::{IdleTimeout, TransportConfig, VarInt};
use site::{id::Home, unit::Memory};
use std::{net::SocketAddr, time::Duration};
use wire::Limit;

/// Round-trip time to assume before the first measurement. Sites are small.
const INITIAL_RTT: Duration = Duration::from_millis(50);

/// Bytes of a stream that may be in flight, and that a receiver holds for a slow reader.
const WINDOW: u32 = 1 << 20;

/// Options of a [`crate::Node`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The own process; its entry must be the one that the certificate names.
    pub home: Home,
    /// UDP address to listen on and connect from.
    pub listen: SocketAddr,
    /// Addresses to tell peers; the listening address if empty.
    pub addresses: Vec<SocketAddr>,
    /// Proves which entry this is, and which peers to trust.
    pub identity: Identity,
    /// Longest frame to send or accept.
    pub limit: Limit,
    /// Most bytes queued for one peer; above this its connection is closed. At least the limit
    /// of a frame.
    pub queue: Memory,
    /// Most incoming messages and events that wait for the consumer. When they are full, peers
    /// are slowed down.
    pub backlog: usize,
    /// A connection is lost after this time without a packet from the peer.
    pub idle_timeout: Duration,
    /// An idle connection is probed after this time. Well below `idle_timeout`.
    pub keep_alive: Duration,
    /// Time for the handshake and the hello.
    pub handshake_timeout: Duration,
    /// First pause between two attempts to connect; doubles up to `max_backoff`, with jitter.
    pub min_backoff: Duration,
    /// Longest pause between two attempts to connect.
    pub max_backoff: Duration,
    /// Time that [`crate::Node::close`] gives queued messages to arrive.
    pub close_timeout: Duration,
    /// Most connections of peers that are not authenticated yet.
    pub max_pending: usize,
}

impl Options {
    /// Options with defaults for all but the first three.
    pub fn new(home: Home, listen: SocketAddr, identity: Identity) -> Self {
        Self {
            home,
            listen,
            addresses: Vec::new(),
            identity,
            limit: Limit::default(),
            queue: Memory(16 << 20),
            backlog: 4_096,
            idle_timeout: Duration::from_secs(2),
            keep_alive: Duration::from_millis(600),
            handshake_timeout: Duration::from_secs(2),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            close_timeout: Duration::from_secs(1),
            max_pending: 256,
        }
    }

    pub(crate) fn transport(&self) -> TransportConfig {
        let idle = VarInt::try_from(self.idle_timeout.as_millis() as u64).unwrap_or(VarInt::MAX);
        let mut transport = TransportConfig::default();
        transport
            .max_concurrent_bidi_streams(VarInt::from_u32(0))
            .max_concurrent_uni_streams(VarInt::from_u32(1))
            .datagram_receive_buffer_size(None)
            .max_idle_timeout(Some(IdleTimeout::from(idle)))
            .keep_alive_interval(Some(self.keep_alive))
            .initial_rtt(INITIAL_RTT)
            .stream_receive_window(VarInt::from_u32(WINDOW))
            .receive_window(VarInt::from_u32(WINDOW))
            .send_window(u64::from(WINDOW));
        transport
    }
}
