//! Errors of encoding and decoding frames.

use derive_more::{Display, Error};

/// Error of encoding or decoding a frame.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The sender uses another version of the protocol.
    #[display("protocol version {got} instead of {}", crate::VERSION)]
    Version {
        /// Version in the frame.
        got: u8,
    },
    /// The frame is longer than the limit.
    #[display("a frame of {length} bytes is longer than the limit of {limit}")]
    TooLarge {
        /// Length in bytes without the prefix, as claimed or as encoded.
        length: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The bytes end before the message does.
    #[display("the frame ends before its message does")]
    Truncated,
    /// The body is not a valid encoded message.
    #[display("the frame's body is not a valid message")]
    Malformed,
    /// Bytes follow the message inside its frame.
    #[display("{extra} bytes follow the message inside its frame")]
    Trailing {
        /// Number of extra bytes.
        extra: usize,
    },
}

impl From<postcard::Error> for Error {
    fn from(error: postcard::Error) -> Self {
        match error {
            postcard::Error::DeserializeUnexpectedEnd => Error::Truncated,
            _ => Error::Malformed,
        }
    }
}
