//! Options of the gateway client.

use serde::{Deserialize, Serialize};
use site::unit::{Memory, Span};
use std::{net::SocketAddr, time::Duration};

/// Addresses and limits of the gateway client.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// Addresses of the gateways, tried in turn. Not empty.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of a call over all addresses. Each address gets an equal part of it.
    #[serde(default = "call_limit")]
    pub call_limit: Span,
    /// Maximum size of a response, and of one message of a watch.
    #[serde(default = "answer_limit")]
    pub answer_limit: Memory,
    /// A watch that has been idle for this time is opened again on a new connection.
    #[serde(default = "watch_silence")]
    pub watch_silence: Span,
}

impl Options {
    /// Returns the default options for these gateways.
    pub fn new(addresses: Vec<SocketAddr>) -> Options {
        Options {
            addresses,
            call_limit: call_limit(),
            answer_limit: answer_limit(),
            watch_silence: watch_silence(),
        }
    }

    /// Returns the timeout of a request to one address.
    pub(super) fn address_limit(&self) -> Duration {
        duration(self.call_limit) / self.addresses.len().max(1) as u32
    }
}

/// Converts a span to a [`Duration`].
pub(super) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

fn call_limit() -> Span {
    Span::from_secs(2)
}

fn answer_limit() -> Memory {
    Memory(8 << 20)
}

fn watch_silence() -> Span {
    Span::from_secs(30)
}
