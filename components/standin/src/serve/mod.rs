//! The HTTP server, connections, faults and control API that the stand-ins for endpoints share.

mod control;
mod endpoint;
mod host;
mod listener;
mod loopback;
mod response;

pub(crate) use control::Control;
pub(crate) use endpoint::{Attempt, EndpointState};
pub use host::Host;
pub(crate) use listener::Listener;
pub use loopback::Loopback;
pub(crate) use response::{Response, serve};
