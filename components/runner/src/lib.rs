//! The process around [`runs::Entry`]: its clock, its timer, its connections.
//!
//! [`Engine`] hands events in and carries actions out. [`Orders`] is the edge towards executors;
//! peers are reached through [`link::Node`].

mod clock;
mod engine;
mod following;
mod journal;
mod metrics;
mod orders;

pub use clock::Clock;
pub use engine::{Engine, Setup};
pub use journal::Journal;
pub use metrics::Metrics;
pub use orders::Orders;
