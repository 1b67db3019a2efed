//! A stand-in for the key-value store of the users' platform, over HTTP: items with revisions,
//! leases, watches and conditional transactions.

mod serve;
mod state;

pub use serve::{Mode, Store};
