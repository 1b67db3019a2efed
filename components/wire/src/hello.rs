//! The first frame of a connection in each direction, which identifies the sender.

use serde::{Deserialize, Serialize};
use site::id::Home;
use std::net::SocketAddr;

/// Maximum number of addresses in a hello.
pub const MAX_ADDRESSES: usize = 8;

/// Identifies the entry that opened or accepted a connection.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Home of the sender. Its entry must be the one in the sender's certificate.
    pub home: Home,
    /// Addresses where the sender accepts connections; at most [`MAX_ADDRESSES`].
    pub addresses: Vec<SocketAddr>,
}
