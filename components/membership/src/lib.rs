//! Who else dispatches: the entries that one entry knows, and what it believes of each.
//!
//! [`View`] is pure. It reads no clock and opens no socket; time is an argument, and what peers
//! and the platform say comes in by method calls.
//!
//! What is believed, and why:
//!
//! * A home is [`Status::Live`] while it is heard from. Any message counts.
//! * Silence for [`Options::suspect_after`] makes it [`Status::Unreachable`], never more. A lost
//!   connection changes nothing by itself.
//! * Absence from the platform's registry proves nothing, since a registration may lapse while
//!   its process lives. Presence proves that a home existed.
//! * A home is [`Status::Gone`] when it is silent and either another process of the same entry
//!   was heard during that silence, or the platform's list no longer holds its VM. Which of two
//!   processes started later cannot be told, so the silent one is the one that is gone; while
//!   both talk, both are live. A home that is gone stays so, even when heard again.
//! * An entry of another data centre that exchanges no heartbeats with this one is believed live
//!   while it is registered, no connection to it failed, and its data centre is heard from.

pub mod keepers;
pub mod mesh;
pub mod options;
pub mod rendezvous;
pub mod view;

pub use options::Options;
pub use view::{Status, View};
