//! Listening sockets for HTTP.

use derive_more::{Display, Error};
use smol::net::TcpListener;
use std::{io, net::SocketAddr};
use trillium::HttpConfig;

/// Initial buffer size for a request head, enough for a typical one, in bytes.
const REQUEST_BUFFER_BYTES: usize = 1 << 10;

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Error of binding the listening socket.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}: {source}; is another process using the port?")]
pub struct BindError {
    /// Address that could not be bound.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: io::Error,
}

/// Binds a listening socket to `address`. Returns the bound address as well, since the system may
/// choose the port.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), BindError> {
    let fail = |source| BindError { address, source };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let address = listener.local_addr().map_err(fail)?;
    Ok((listener, address))
}

/// Returns the HTTP limits and buffer sizes. `response` is the size of a typical response in bytes;
/// the response buffer has that size, so that such a response is written at once.
pub fn http_config(response: usize) -> HttpConfig {
    HttpConfig::default()
        .with_head_max_len(MAX_HEAD_BYTES)
        .with_request_buffer_initial_len(REQUEST_BUFFER_BYTES)
        .with_response_buffer_len(response)
}
