//! Framing of messages between entries.
//!
//! A frame is a little-endian `u32` length followed by that number of bytes: one byte of protocol
//! version and a body encoded by postcard. One write may contain several frames. Bytes from a peer
//! are untrusted: decoding returns typed errors, never panics, and allocates memory for the bytes
//! that have arrived, not for the length that a frame claims.

pub mod decoder;
pub mod error;
pub mod frame;
pub mod hello;

pub use decoder::Decoder;
pub use error::Error;
pub use frame::{Frame, Limit, MAX_FRAME_BYTES, VERSION};
pub use hello::Hello;
