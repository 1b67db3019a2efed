//! Fakes for what surrounds the measured code: endpoints, callers, peers and the platform's store.

pub mod backend;
pub mod folder;
pub mod load;
pub mod peers;
pub mod responder;
pub mod store;
