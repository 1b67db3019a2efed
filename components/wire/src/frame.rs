//! Encoding and decoding of a single frame.

use crate::Error;
use derive_more::{Display, Error as StdError};
use dispatch::Message;
use serde::{Serialize, de::DeserializeOwned};

/// Version of the protocol that this build uses.
pub const VERSION: u8 = 1;

/// Maximum frame size that a limit can allow, in bytes without the prefix.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Size of the length prefix in bytes.
pub const PREFIX_BYTES: usize = 4;

/// Maximum size of a frame that is sent or accepted, in bytes without the prefix; at most
/// [`MAX_FRAME_BYTES`].
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct Limit(usize);

/// Error for a limit that is not between 1 and [`MAX_FRAME_BYTES`].
#[derive(Clone, Copy, Debug, Display, StdError, Eq, PartialEq)]
#[display("a frame limit of {limit} bytes is not between 1 and {MAX_FRAME_BYTES}")]
pub struct LimitError {
    /// The requested limit in bytes.
    pub limit: usize,
}

impl Limit {
    /// Creates a limit of `bytes`.
    pub fn new(bytes: usize) -> Result<Self, LimitError> {
        match bytes {
            1..=MAX_FRAME_BYTES => Ok(Self(bytes)),
            limit => Err(LimitError { limit }),
        }
    }

    /// Returns the limit in bytes.
    pub fn bytes(self) -> usize {
        self.0
    }

    /// Returns an error if a frame of `length` bytes exceeds the limit.
    pub fn check(self, length: usize) -> Result<(), Error> {
        if length > self.0 {
            return Err(Error::TooLarge { length, limit: self.0 });
        }
        Ok(())
    }
}

impl Default for Limit {
    fn default() -> Self {
        Self(MAX_FRAME_BYTES)
    }
}

/// A message with the protocol version of its encoding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame<M = Message> {
    /// Always [`VERSION`] after decoding.
    pub version: u8,
    /// The message.
    pub message: M,
}

impl<M> Frame<M> {
    /// Creates a frame of the protocol version of this build.
    pub fn new(message: M) -> Self {
        Self { version: VERSION, message }
    }
}

impl<M: Serialize> Frame<M> {
    /// Appends the encoded frame to `bytes`. On an error, `bytes` is unchanged.
    pub fn encode(&self, limit: Limit, bytes: &mut Vec<u8>) -> Result<(), Error> {
        encode(self.version, &self.message, limit, bytes)
    }
}

impl<M: DeserializeOwned> Frame<M> {
    /// Decodes the bytes of one frame that follow its prefix.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let (&version, body) = bytes.split_first().ok_or(Error::Truncated)?;
        if version != VERSION {
            return Err(Error::Version { got: version });
        }
        let (message, rest) = postcard::take_from_bytes(body)?;
        match rest.len() {
            0 => Ok(Self { version, message }),
            extra => Err(Error::Trailing { extra }),
        }
    }
}

/// Appends a frame of the protocol version of this build to `bytes`. On an error, `bytes` is
/// unchanged.
pub fn append<M: Serialize>(message: &M, limit: Limit, bytes: &mut Vec<u8>) -> Result<(), Error> {
    encode(VERSION, message, limit, bytes)
}

fn encode<M: Serialize>(
    version: u8,
    message: &M,
    limit: Limit,
    bytes: &mut Vec<u8>,
) -> Result<(), Error> {
    let length = 1 + postcard::experimental::serialized_size(message)?;
    limit.check(length)?;
    let prefix = u32::try_from(length).map_err(|_| Error::TooLarge { length, limit: limit.0 })?;
    let start = bytes.len();
    bytes.reserve(PREFIX_BYTES + length);
    bytes.extend_from_slice(&prefix.to_le_bytes());
    bytes.push(version);
    let written = postcard::to_extend(message, Appender(bytes)).map(|_| ());
    written.map_err(|error| {
        bytes.truncate(start);
        Error::from(error)
    })
}

/// Adapter through which postcard appends to a buffer.
struct Appender<'a>(&'a mut Vec<u8>);

impl Extend<u8> for Appender<'_> {
    fn extend<I: IntoIterator<Item = u8>>(&mut self, bytes: I) {
        self.0.extend(bytes);
    }
}
