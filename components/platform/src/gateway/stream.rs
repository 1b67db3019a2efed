//! The response to a watch: JSON messages separated by newlines.

use super::message::{Streamed, WatchResponse};
use crate::{
    Code, Error,
    store::{Change, Changes, Revision},
};
use smol::io::{AsyncRead, AsyncReadExt};
use std::pin::Pin;

/// Size of a read, in bytes.
const READ_SIZE: usize = 16 << 10;

/// Reads the messages of one watch.
pub(super) struct Lines {
    body: Pin<Box<dyn AsyncRead + Send>>,
    /// Bytes that were read and not yet returned.
    pending: Vec<u8>,
    limit: usize,
}

impl Lines {
    /// Reads messages of up to `limit` bytes from `body`.
    pub(super) fn new(body: Pin<Box<dyn AsyncRead + Send>>, limit: usize) -> Lines {
        Lines { body, pending: Vec::new(), limit }
    }

    /// Returns the next message. Cancel safe: no message is lost when the future is dropped.
    pub(super) async fn next(&mut self) -> Result<WatchResponse, Error> {
        let mut searched = 0;
        loop {
            if let Some(end) = self.pending[searched..].iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.pending.drain(..=searched + end).collect();
                return parse(&line);
            }
            searched = self.pending.len();
            if searched > self.limit {
                return Err(Error::Malformed);
            }
            let mut chunk = [0; READ_SIZE];
            match self.body.read(&mut chunk).await {
                Ok(0) | Err(_) => return Err(Error::Unknown),
                Ok(count) => self.pending.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

fn parse(line: &[u8]) -> Result<WatchResponse, Error> {
    match serde_json::from_slice(line) {
        Err(_) => Err(Error::Malformed),
        Ok(Streamed::Result(response)) => Ok(response),
        Ok(Streamed::Error(error)) => {
            Err(Code::from_grpc(error.grpc_code)
                .map_or(Error::Unknown, |code| Error::Refused { code }))
        }
    }
}

/// Returns the changes in a message; `None` if it has none.
pub(super) fn changes(response: WatchResponse) -> Result<Option<Changes>, Error> {
    if response.canceled {
        return Err(match response.compact_revision.0 {
            0 => Error::Unknown,
            _ => Error::Refused { code: Code::OutOfRange },
        });
    }
    let Some(last) = response.events.iter().map(|event| event.kv.mod_revision.0).max() else {
        return Ok(None);
    };
    let changes =
        response.events.into_iter().map(Change::try_from).collect::<Result<Vec<_>, _>>()?;
    Ok(Some(Changes { revision: Revision(last), changes }))
}
