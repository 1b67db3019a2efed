//! Traffic counters of a node.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Traffic of a node since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Number of messages received.
    pub messages_in: u64,
    /// Number of messages queued for sending.
    pub messages_out: u64,
    /// Bytes of frames received, including their length prefixes.
    pub bytes_in: u64,
    /// Bytes of frames written, including their length prefixes.
    pub bytes_out: u64,
    /// Bytes of UDP payload received on authenticated connections: frames, acknowledgements,
    /// probes and handshakes.
    pub datagram_bytes_in: u64,
    /// Bytes of UDP payload sent on authenticated connections.
    pub datagram_bytes_out: u64,
    /// Number of connections established.
    pub connections: u64,
    /// Number of connections that could not be established or accepted.
    pub failures: u64,
    /// Number of connections closed because their send queue exceeded its limit.
    pub overflows: u64,
}

/// Bytes of UDP payload of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Datagrams {
    pub(super) received: u64,
    pub(super) sent: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    /// Sum over connections that have ended.
    datagram_bytes_in: AtomicU64,
    /// Sum over connections that have ended.
    datagram_bytes_out: AtomicU64,
    connections: AtomicU64,
    failures: AtomicU64,
    overflows: AtomicU64,
}

impl Counters {
    pub(super) fn received(&self) {
        self.messages_in.fetch_add(1, Relaxed);
    }

    pub(super) fn sent(&self) {
        self.messages_out.fetch_add(1, Relaxed);
    }

    pub(super) fn read(&self, bytes: usize) {
        self.bytes_in.fetch_add(bytes as u64, Relaxed);
    }

    pub(super) fn wrote(&self, bytes: usize) {
        self.bytes_out.fetch_add(bytes as u64, Relaxed);
    }

    pub(super) fn connected(&self) {
        self.connections.fetch_add(1, Relaxed);
    }

    pub(super) fn ended(&self, datagrams: Datagrams) {
        self.datagram_bytes_in.fetch_add(datagrams.received, Relaxed);
        self.datagram_bytes_out.fetch_add(datagrams.sent, Relaxed);
    }

    pub(super) fn failed(&self) {
        self.failures.fetch_add(1, Relaxed);
    }

    pub(super) fn overflowed(&self) {
        self.overflows.fetch_add(1, Relaxed);
    }

    pub(super) fn traffic(&self, live: impl Iterator<Item = Datagrams>) -> Traffic {
        let mut traffic = Traffic {
            messages_in: self.messages_in.load(Relaxed),
            messages_out: self.messages_out.load(Relaxed),
            bytes_in: self.bytes_in.load(Relaxed),
            bytes_out: self.bytes_out.load(Relaxed),
            datagram_bytes_in: self.datagram_bytes_in.load(Relaxed),
            datagram_bytes_out: self.datagram_bytes_out.load(Relaxed),
            connections: self.connections.load(Relaxed),
            failures: self.failures.load(Relaxed),
            overflows: self.overflows.load(Relaxed),
        };
        for datagrams in live {
            traffic.datagram_bytes_in += datagrams.received;
            traffic.datagram_bytes_out += datagrams.sent;
        }
        traffic
    }
}
