//! Calls over HTTP/1.1 with connections that are kept open.

mod caller;
mod client;
mod connection;
mod control;
mod host;
mod message;
mod meter;
mod options;
mod stream;
mod watch;

pub use caller::{Ask, Caller, Failed, Reply};
pub use client::Client;
pub use options::Options;

pub(crate) use message::{Answer, Request};
pub(crate) use meter::Meter;
