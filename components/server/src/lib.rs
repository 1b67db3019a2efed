//! The HTTP/1.1 API of an entry for callers and operators.
//!
//! [`Server`] accepts connections, checks requests and passes them to a [`Backend`], which
//! represents the rest of the process. `docs/HTTP.md` describes the API.

pub mod backend;
pub mod body;
pub mod connection;
pub mod handler;
pub mod header;
pub mod job;
pub mod key;
pub mod listen;
pub mod listener;
pub mod options;
pub mod problem;
pub mod rejection;
pub mod reply;
pub mod route;
pub mod server;
pub mod submit;
pub mod timeout;

pub use backend::Backend;
pub use options::Options;
pub use problem::Problem;
pub use rejection::Rejection;
pub use server::Server;
