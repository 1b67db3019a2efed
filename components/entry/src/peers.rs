//! Interface between the engine and the connections to other entries.

use dispatch::Message;
use site::id::Home;

/// Sends messages to other entries.
pub trait Peers: Send + Sync {
    /// Queues a message on the connection to `to`, in the order of the calls. Does not block. If
    /// there is no connection and the peer's address is known, one is established.
    fn send(&self, to: Home, message: Message);

    /// Returns the entries with an open connection.
    fn connected(&self) -> Vec<Home>;

    /// Stops waiting for a connection to `peer` and drops the messages queued for it. Returns
    /// whether there were such messages or there is no connection.
    fn cancel_connect(&self, peer: Home) -> bool;
}
