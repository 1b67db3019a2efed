//! Reads request bodies with limits on size and total memory. The time limit is enforced by the
//! connection's [`TimedConnection`](crate::timeout::TimedConnection).

use crate::{Rejection, header};
use bytes::Bytes;
use site::unit::{Memory, Span};
use smol::io::AsyncReadExt;
use std::{
    io::{self, ErrorKind},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use trillium::Conn;

/// Size of reads from a body of unknown length, in bytes.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Maximum bytes that are allocated before any of the body has arrived.
const MAX_PREALLOCATED_BYTES: usize = 64 << 10;

/// Memory budget shared by the bodies of all requests.
#[derive(Debug)]
pub struct Budget {
    limit: u64,
    used: AtomicU64,
}

impl Budget {
    /// Creates an unused budget of `limit`.
    pub fn new(limit: Memory) -> Arc<Budget> {
        Arc::new(Budget { limit: limit.0, used: AtomicU64::new(0) })
    }

    fn try_reserve(&self, bytes: u64) -> bool {
        let before = self.used.fetch_add(bytes, Ordering::Relaxed);
        if before.saturating_add(bytes) <= self.limit {
            return true;
        }
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        false
    }
}

/// Reserved part of a budget, released on drop.
#[derive(Debug)]
pub struct Permit {
    budget: Arc<Budget>,
    bytes: u64,
}

impl Permit {
    fn new(budget: &Arc<Budget>) -> Permit {
        Permit { budget: budget.clone(), bytes: 0 }
    }

    fn extend(&mut self, bytes: u64) -> Result<(), Rejection> {
        if !self.budget.try_reserve(bytes) {
            return Err(Rejection::NoMemory);
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A complete body and its memory reservation.
#[derive(Debug)]
pub struct Body {
    /// Content of the body.
    pub bytes: Bytes,
    /// Reservation for the content; kept as long as the content.
    pub permit: Permit,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Maximum size.
    pub size: Memory,
    /// Time limit that the connection enforces; only used in the error message.
    pub time: Span,
}

/// Reads the whole body of a request. Fails as soon as a limit is exceeded.
pub async fn read(conn: &mut Conn, limit: Limit, budget: &Arc<Budget>) -> Result<Body, Rejection> {
    let length = header::body_length(conn.request_headers())?;
    if length.is_some_and(|length| length > limit.size.0) {
        return Err(Rejection::LargeBody { limit: limit.size });
    }
    let mut permit = Permit::new(budget);
    let mut bytes = Vec::new();
    if length != Some(0) {
        let reader = conn.request_body().await.with_max_len(limit.size.0.saturating_add(1));
        match length {
            Some(length) => read_known(reader, length, limit, &mut permit, &mut bytes).await?,
            None => read_chunks(reader, limit, &mut permit, &mut bytes).await?,
        }
    }
    Ok(Body { bytes: bytes.into(), permit })
}

async fn read_known(
    mut reader: impl AsyncReadExt + Unpin,
    length: u64,
    limit: Limit,
    permit: &mut Permit,
    bytes: &mut Vec<u8>,
) -> Result<(), Rejection> {
    permit.extend(length)?;
    let length = usize::try_from(length).map_err(|_| Rejection::NoMemory)?;
    bytes.reserve_exact(length.min(MAX_PREALLOCATED_BYTES));
    let mut read = 0;
    while read < length {
        let next = length.min((2 * read).max(MAX_PREALLOCATED_BYTES));
        bytes.resize(next, 0);
        reader.read_exact(&mut bytes[read..]).await.map_err(|e| reject(&e, limit))?;
        read = next;
    }
    Ok(())
}

async fn read_chunks(
    mut reader: impl AsyncReadExt + Unpin,
    limit: Limit,
    permit: &mut Permit,
    bytes: &mut Vec<u8>,
) -> Result<(), Rejection> {
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let read = reader.read(&mut chunk).await.map_err(|e| reject(&e, limit))?;
        if read == 0 {
            return Ok(());
        }
        if bytes.len() as u64 + read as u64 > limit.size.0 {
            return Err(Rejection::LargeBody { limit: limit.size });
        }
        permit.extend(read as u64)?;
        bytes.extend_from_slice(&chunk[..read]);
    }
}

fn reject(error: &io::Error, limit: Limit) -> Rejection {
    match error.kind() {
        ErrorKind::TimedOut => Rejection::SlowBody { limit: limit.time },
        ErrorKind::Unsupported => Rejection::LargeBody { limit: limit.size },
        _ => Rejection::TruncatedBody,
    }
}
