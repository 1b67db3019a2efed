//! HTTP/1.1 transport with connection pools.

mod client;
mod connection;
mod control;
mod host;
mod message;
mod meter;
mod options;
mod raw;
mod stream;
mod watch;

pub use client::Client;
pub use options::Options;
pub use raw::{RawClient, RawRequest, RawResponse, RequestError};

pub(crate) use message::{Request, Response};
pub(crate) use meter::Meter;
