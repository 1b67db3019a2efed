//! Real entries as separate processes on loopback, with callers, executors and a store around
//! them, and faults that come from outside: proxies that delay, hold back and reset connections,
//! signals that stop, pause and kill processes, a store and executors that misbehave.
//!
//! A seed decides what can be decided. The promises are checked by what callers, executors and
//! operators see.

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

mod error;

pub use error::Error;
