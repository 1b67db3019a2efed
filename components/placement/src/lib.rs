//! Placement: chooses the endpoint that runs a task, and estimates the resources that a task needs.
//!
//! Nothing here reads a clock; random choices are derived from a seed.

mod endpoint;
mod estimate;
mod grid;
mod histogram;
mod member;
mod pool;
mod track;

pub use endpoint::{Endpoint, RackCounts};
pub use estimate::{Estimator, TaskKind};
pub use pool::Pool;
