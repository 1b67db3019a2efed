//! Connections between entries, over QUIC with mutual TLS.
//!
//! A [`Node`] listens on one UDP address, keeps connections to the entries that it is given, and
//! accepts connections of others. Each peer proves by its certificate which entry it is. There is
//! at most one connection to a peer; its frames are delivered whole and in order. Messages that
//! were sent on a lost connection may or may not have been delivered.

pub mod close;
pub mod error;
pub mod node;
pub mod options;
pub mod tls;

pub use close::Code;
pub use error::Error;
pub use node::{Incoming, Node, Payload, Traffic};
pub use options::Options;
