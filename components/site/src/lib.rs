//! The domain types of the dispatcher: data centres, links, executors, workers, firms, services,
//! contracts and submissions, with their identifiers and units.
//!
//! Everything here is plain data. Nothing reads a clock, a file or a socket.

pub mod contract;
pub mod executor;
pub mod firm;
pub mod id;
pub mod operator;
pub mod policy;
pub mod service;
pub mod submission;
pub mod topology;
pub mod unit;
pub mod worker;

pub use contract::Contract;
pub use executor::Executor;
pub use firm::{Crew, Firm};
pub use operator::Operator;
pub use policy::Policy;
pub use service::Service;
pub use topology::{DataCentre, Link, Site};
pub use worker::Worker;
