//! The daemon of an entry: runs the decision logic of `dispatch` on sockets, a clock and the
//! platform's store.
//!
//! [`Process::start`] runs a whole entry from its daemon's settings; the program
//! `primrosestep-entry` only adds the command line and signals. [`Engine`] passes events to the
//! decision logic and executes the actions that it returns.

mod backend;
mod call_monitor;
pub mod claims;
mod clock;
mod config;
pub mod convert;
mod engine;
mod failpoint;
pub mod folder;
mod latch;
pub mod metrics;
mod network;
mod overview;
pub mod parts;
mod peers;
mod process;
mod registry;
pub mod replica;
pub mod spawn;
mod timer;
pub mod tracker;
mod usage;
pub mod vms;
mod waiters;

pub use backend::Backend;
pub use clock::Clock;
pub use config::Config;
pub use engine::{Dependencies, Engine, Settings};
pub use peers::Peers;
pub use process::{Process, Setup, StartError};
pub use waiters::{Waiters, Wake};
