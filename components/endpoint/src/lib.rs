//! Calls to endpoints: executors and workers.
//!
//! [`Transport`] is the interface to endpoints. Each call returns one [`Report`] whose [`Reply`]
//! states exactly what is known about the attempt: that it ran, that it did not run, or that it may
//! have run.

pub mod call;
mod classify;
pub mod http;
pub mod protocol;
pub mod reply;
pub mod transport;
pub mod usage;

pub use call::Call;
pub use reply::{Loss, Refusal, Reply, Report, Unsent};
pub use transport::{Probe, Stop, Transport};
pub use usage::Usage;
