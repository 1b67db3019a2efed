//! Decision logic of an entry: admission, capacity sharing, placement, retries and recovery.
//!
//! [`Entry`] is the interface to all of it: [`Entry::handle`] takes the time and an [`Event`] and
//! appends the [`Action`]s that the caller must carry out, in order; [`Entry::next_timer`] returns
//! when [`Event::Tick`] is due. The crate reads no clock, opens no socket and starts no thread, and
//! its random choices come from the seed it is given, so the same events give the same actions.
//! `handle` takes `&self`: state is kept in shards, each under its own lock, and several threads
//! may call it at once.

pub mod action;
pub mod entry;
pub mod event;
mod index;
pub mod message;
pub mod pool;
mod retry;

pub use action::{Action, Decision};
pub use entry::Entry;
pub use event::Event;
pub use message::Message;
