//! Small servers that replace external systems in tests: executors, workers, and key-value stores.

pub mod executor;
pub mod fault;
pub mod kv;
pub mod leased;
pub mod ledger;
pub mod platform;
pub mod ports;
mod protocol;
mod request;
mod serve;
pub mod worker;

pub use executor::Executor;
pub use fault::Faults;
pub use ledger::Ledger;
pub use serve::{Host, Loopback};
pub use worker::Worker;
