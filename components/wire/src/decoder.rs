//! Decodes frames from a byte stream.

use crate::{
    Error, Frame,
    frame::{Limit, PREFIX_BYTES},
};
use serde::de::DeserializeOwned;

/// Decodes frames from bytes that arrive in chunks of any size.
///
/// Buffers the bytes that were fed and not yet decoded: less than one frame if all whole frames are
/// taken after each feed. An error is final, since the start of the next frame is then unknown.
#[derive(Debug, Default)]
pub struct Decoder {
    limit: Limit,
    buffer: Vec<u8>,
    /// Number of bytes of `buffer` that are already decoded; at most its length.
    taken: usize,
    failed: Option<Error>,
}

impl Decoder {
    /// Creates a decoder that accepts frames up to `limit`.
    pub fn new(limit: Limit) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Appends bytes that arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.taken);
        self.taken = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole frame; `None` if more bytes are needed.
    pub fn take<M: DeserializeOwned>(&mut self) -> Result<Option<Frame<M>>, Error> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        let result = self.decode();
        self.failed = result.as_ref().err().copied();
        result
    }

    /// Returns an error if the stream ends inside a frame or has failed before.
    pub fn finish(&self) -> Result<(), Error> {
        match self.failed {
            Some(error) => Err(error),
            None if self.pending() > 0 => Err(Error::Truncated),
            None => Ok(()),
        }
    }

    /// Returns the number of bytes that were fed and not yet decoded.
    pub fn pending(&self) -> usize {
        self.buffer.len() - self.taken
    }

    fn decode<M: DeserializeOwned>(&mut self) -> Result<Option<Frame<M>>, Error> {
        let Some((prefix, rest)) = self.buffer[self.taken..].split_first_chunk::<PREFIX_BYTES>()
        else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        self.limit.check(length)?;
        let Some(bytes) = rest.get(..length) else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes)?;
        self.taken += PREFIX_BYTES + length;
        Ok(Some(frame))
    }
}
