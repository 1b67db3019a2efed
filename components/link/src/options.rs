//! Options of a node.

use crate::tls::Identity;
use quinn::{IdleTimeout, TransportConfig, VarInt};
use site::{id::Home, unit::Memory};
use std::{net::SocketAddr, time::Duration};
use wire::Limit;

/// Assumed round-trip time before the first measurement. Sites are small.
const INITIAL_RTT: Duration = Duration::from_millis(50);

/// Flow control window in bytes: the maximum in flight, and buffered by a receiver for a slow
/// reader.
const FLOW_CONTROL_WINDOW: u32 = 1 << 20;

/// Options of a [`crate::Node`].
#[derive(Clone, Debug)]
pub struct Options {
    /// This process; its entry must be the one that the certificate names.
    pub home: Home,
    /// UDP address to listen on and connect from.
    pub listen: SocketAddr,
    /// Addresses to advertise to peers; if empty, the listening address.
    pub addresses: Vec<SocketAddr>,
    /// Certificate and key of this entry, and the authorities that it trusts.
    pub identity: Identity,
    /// Maximum size of a frame to send or accept.
    pub limit: Limit,
    /// Maximum size of the send queue of one peer; its connection is closed when the queue exceeds
    /// it. At least the maximum size of a frame.
    pub queue: Memory,
    /// Capacity of the queue of incoming messages and events. While it is full, nothing is read
    /// from peers.
    pub backlog: usize,
    /// Time without a packet from the peer after which a connection is lost.
    pub idle_timeout: Duration,
    /// Time after which an idle connection is probed. Well below `idle_timeout`.
    pub keep_alive: Duration,
    /// Timeout of the TLS handshake, and of the exchange of hellos.
    pub handshake_timeout: Duration,
    /// Initial pause between two attempts to connect; it doubles up to `max_backoff`, with jitter.
    pub min_backoff: Duration,
    /// Maximum pause between two attempts to connect.
    pub max_backoff: Duration,
    /// Time for which [`crate::Node::close`] waits until queued messages have arrived.
    pub close_timeout: Duration,
    /// Maximum number of incoming connections whose peers are not yet authenticated.
    pub max_pending: usize,
}

impl Options {
    /// Returns options with defaults for all other fields.
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
            .stream_receive_window(VarInt::from_u32(FLOW_CONTROL_WINDOW))
            .receive_window(VarInt::from_u32(FLOW_CONTROL_WINDOW))
            .send_window(u64::from(FLOW_CONTROL_WINDOW));
        transport
    }
}
