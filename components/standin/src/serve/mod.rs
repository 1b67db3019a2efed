//! What the stand-ins for endpoints share: listening, connections, faults and the ledger.

mod answer;
mod control;
mod host;
mod listener;
mod loopback;
mod node;

pub(crate) use answer::{Answer, serve};
pub(crate) use control::Control;
pub use host::Host;
pub(crate) use listener::Listener;
pub use loopback::Loopback;
pub(crate) use node::{Attempt, Node};
