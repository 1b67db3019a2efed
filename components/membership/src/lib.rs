//! Membership of entries: which homes one entry knows, and the status that it assigns to each.
//!
//! [`View`] is a pure state machine. It reads no clock and opens no socket; the caller passes the
//! time, messages of peers and lists from the platform by method calls.
//!
//! How a status is derived:
//!
//! * A home is [`Status::Live`] while messages from it arrive. Any message counts.
//! * Without a message for [`Options::suspect_after`] it is [`Status::Unreachable`], but not gone.
//!   A lost connection alone changes nothing.
//! * Absence from the platform's registry proves nothing, since a registration may expire while its
//!   process runs. Presence proves that a home existed.
//! * A home is [`Status::Gone`] when it is unresponsive and either a message of another process of
//!   the same entry arrived in that period, or the platform's list no longer has its VM. Which of
//!   two processes started later is unknown, so the unresponsive one is gone; while both send
//!   messages, both are live. A home that is gone stays so, even if a message arrives from it.
//! * An entry of another data centre that exchanges no heartbeats with this one is presumed live
//!   while it is registered, no connection to it has failed, and messages arrive from some entry of
//!   its data centre.

pub mod keepers;
pub mod mesh;
pub mod options;
pub mod rendezvous;
pub mod view;

pub use options::Options;
pub use view::{Status, View};
