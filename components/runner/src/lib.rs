//! The process around [`runs::Entry`]: its clock, timer and connections.
//!
//! [`Engine`] feeds events to the entry and carries out its actions. [`Orders`] is the interface to
//! executors; peers are reached through [`link::Node`].

mod clock;
mod decision_log;
mod engine;
mod metrics;
mod orders;
mod routes;
mod watch;

pub use clock::Clock;
pub use decision_log::DecisionLog;
pub use engine::{Engine, Setup};
pub use metrics::Metrics;
pub use orders::Orders;
