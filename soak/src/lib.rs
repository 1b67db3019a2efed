//! Runs real entries as separate processes on loopback, with callers and stand-ins for executors
//! and the store, and injects faults from outside: proxies that delay, block and reset connections,
//! signals that stop, pause and kill processes, a store and executors that misbehave.
//!
//! One such test is a play. Its seed determines the faults and the jobs, but not the timing of the
//! processes. The guarantees are checked against what callers, executors and operators observe.

pub mod caller;
pub mod check;
pub mod document;
pub mod entry;
pub mod history;
pub mod inject;
pub mod plan;
pub mod play;
pub mod proxy;
pub mod relay;
pub mod sabotage;
pub mod site;
pub mod watch;
pub mod worker;

mod error;

pub use error::Error;
