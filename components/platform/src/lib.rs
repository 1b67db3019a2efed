//! Access to the platform's key-value service: a trait for the store, a client of its JSON gateway,
//! and the documents that the project keeps there.
//!
//! Every function here is idempotent and resolves lost responses by reading back, so it may be
//! called again with the same arguments after any error.

pub mod claim;
pub mod error;
pub mod gateway;
pub mod manifest;
pub mod mirror;
pub mod path;
pub mod registry;
pub mod store;
pub mod vms;

mod text;

pub use error::{Code, Error};
pub use mirror::Mirror;
pub use store::Store;
