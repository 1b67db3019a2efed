//! One HTTP request and its response.

use crate::{Code, Error};
use bytes::Bytes;
use smol::{Timer, future::FutureExt, io::AsyncRead};
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use trillium_client::{Body, Client, Conn, KnownHeaderName};

/// Maximum size of an error response that is read, in bytes.
const ERROR_BODY_LIMIT: u64 = 64 << 10;

/// Body of a request. Records its first read, which is when its first byte is sent: the HTTP
/// library sends the head alone and waits for `100 Continue`.
struct Tracked {
    bytes: Bytes,
    sent: Arc<AtomicBool>,
}

impl AsyncRead for Tracked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.sent.store(true, Ordering::Relaxed);
        let count = self.bytes.len().min(buf.len());
        let part = self.bytes.split_to(count);
        buf[..count].copy_from_slice(&part);
        Poll::Ready(Ok(count))
    }
}

/// A request to one address.
pub(super) struct Exchange {
    address: SocketAddr,
    sent: Arc<AtomicBool>,
    limit: Duration,
}

impl Exchange {
    /// Returns a request to `address` with timeout `limit`.
    pub(super) fn new(address: SocketAddr, limit: Duration) -> Exchange {
        Exchange { address, sent: Arc::default(), limit }
    }

    /// Whether the request's body, or a part of it, was sent.
    pub(super) fn was_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed)
    }

    /// Sends `body` and waits for the head of a response with status 200.
    pub(super) async fn open(
        &self,
        client: &Client,
        path: &'static str,
        body: Bytes,
    ) -> Result<Conn, Error> {
        let length = body.len() as u64;
        let tracked = Tracked { bytes: body, sent: self.sent.clone() };
        let conn = client
            .post(format!("http://{}{path}", self.address).as_str())
            .with_request_header(KnownHeaderName::ContentType, "application/json")
            .with_body(Body::new_streaming(tracked, Some(length)));
        let head = async { conn.await.map_err(|error| self.failed(&error)) };
        let conn = head.or(self.expire()).await?;
        match conn.status().map_or(0, u16::from) {
            200 => Ok(conn),
            status => Err(self.refused(status, &self.read(conn, ERROR_BODY_LIMIT).await?)),
        }
    }

    /// Reads the whole response body, up to `limit` bytes.
    pub(super) async fn read(&self, mut conn: Conn, limit: u64) -> Result<Vec<u8>, Error> {
        let body = async {
            let body = conn.response_body().with_max_len(limit);
            body.read_bytes().await.map_err(|error| self.failed(&error))
        };
        body.or(self.expire()).await
    }

    /// Returns the error of a call without a response.
    fn lost(&self) -> Error {
        if self.was_sent() { Error::Unknown } else { Error::Unreachable }
    }

    fn failed(&self, error: &trillium_client::Error) -> Error {
        tracing::debug!(address = %self.address, %error, "call to the platform failed");
        match error {
            trillium_client::Error::ReceivedBodyTooLong(_) => Error::Malformed,
            trillium_client::Error::Io(error)
                if error.kind() == io::ErrorKind::InvalidData && self.was_sent() =>
            {
                Error::Malformed
            }
            _ => self.lost(),
        }
    }

    fn refused(&self, status: u16, body: &[u8]) -> Error {
        tracing::debug!(address = %self.address, status, "call to the platform rejected");
        let code = match serde_json::from_slice::<super::message::Refusal>(body) {
            Ok(refusal) => Code::from_grpc(refusal.code),
            Err(_) => Code::from_http(status),
        };
        code.map_or_else(|| self.lost(), |code| Error::Refused { code })
    }

    async fn expire<T>(&self) -> Result<T, Error> {
        Timer::after(self.limit).await;
        Err(self.lost())
    }
}
