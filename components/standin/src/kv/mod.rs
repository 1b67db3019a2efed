//! A stand-in for the store of the users' platform, over HTTP: items with revisions, leases,
//! watches, changes under conditions.

mod serve;
mod state;

pub use serve::{Mode, Store};
