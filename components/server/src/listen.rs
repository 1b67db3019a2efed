//! Listening sockets for HTTP.

use derive_more::{Display, Error};
use smol::net::TcpListener;
use std::{io, net::SocketAddr};
use trillium::HttpConfig;

/// Room for the head of a usual request.
const REQUEST_BUFFER: usize = 1 << 10;

/// Largest head.
const MAX_HEAD: usize = 16 << 10;

/// An address could not be opened.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}: {source}; is another process using the port?")]
pub struct BindError {
    /// Where.
    pub address: SocketAddr,
    /// Why not.
    pub source: io::Error,
}

/// Listens on `address`; returns where, too, since the system may choose the port.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), BindError> {
    let fail = |source| BindError { address, source };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let address = listener.local_addr().map_err(fail)?;
    Ok((listener, address))
}

/// Limits of requests and room for usual ones; `response` is the size of a usual answer in bytes,
/// so that it leaves in one piece.
pub fn config(response: usize) -> HttpConfig {
    HttpConfig::default()
        .with_head_max_len(MAX_HEAD)
        .with_request_buffer_initial_len(REQUEST_BUFFER)
        .with_response_buffer_len(response)
}
