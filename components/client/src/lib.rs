//! Client library of the dispatcher's HTTP API.
//!
//! [`Client`] submits requests and jobs through any of several entries. It creates identifiers from
//! home tokens, resubmits under the same identifier if a response is lost, and uses a new one
//! only after the submission under the old one is known not to have run.

pub mod client;
pub mod error;
pub mod exchange;
pub mod job;
pub mod request;
pub mod retry;
mod submit;
mod token;

pub use client::Client;
pub use error::{Error, Problem};
pub use job::Job;
pub use request::{Request, Response};
