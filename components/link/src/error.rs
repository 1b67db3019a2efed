//! Errors of connections between entries.

use crate::{Code, tls};
use derive_more::{Display, Error, From};
use quinn::{ConnectError, ConnectionError};
use site::id::Home;
use std::{io, net::SocketAddr};

/// Range of QUIC transport error codes that are TLS alerts.
const ALERTS: std::ops::Range<u64> = 0x100..0x200;

/// Why a connection could not be established, was lost, or accepted no message.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The UDP socket can't be opened.
    #[display("can't listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The certificate, key or authority can't be used.
    #[display("{_0}")]
    Tls(tls::Error),
    /// The attempt to connect can't be started.
    #[display("can't connect: {_0}")]
    Connect(ConnectError),
    /// One end rejected the certificate of the other.
    #[display("not trusted: {reason}")]
    #[from(skip)]
    Untrusted {
        /// Message of the TLS alert.
        #[error(not(source))]
        reason: String,
    },
    /// The connection was lost or could not be established.
    #[display("connection lost: {_0}")]
    #[from(skip)]
    Lost(ConnectionError),
    /// The peer closed the connection.
    #[display("closed by the peer: {_0}")]
    #[from(skip)]
    Closed(#[error(not(source))] Code),
    /// This end closed the connection.
    #[display("closed by this end: {_0}")]
    #[from(skip)]
    Refused(#[error(not(source))] Code),
    /// A frame can't be encoded or decoded.
    #[display("{_0}")]
    Frame(wire::Error),
    /// There is no connection to the peer.
    #[display("no connection to {_0}")]
    #[from(skip)]
    NotConnected(#[error(not(source))] Home),
    /// The peer does not read its messages fast enough; the connection was closed.
    #[display("the send queue to {_0} is full; the connection was closed")]
    #[from(skip)]
    Overflow(#[error(not(source))] Home),
}

impl From<ConnectionError> for Error {
    fn from(error: ConnectionError) -> Self {
        let alert = match &error {
            ConnectionError::ApplicationClosed(close) => {
                return Error::Closed(close.error_code.into());
            }
            ConnectionError::TransportError(error) => u64::from(error.code),
            ConnectionError::ConnectionClosed(close) => u64::from(close.error_code),
            _ => 0,
        };
        match ALERTS.contains(&alert) {
            true => Error::Untrusted { reason: error.to_string() },
            false => Error::Lost(error),
        }
    }
}

impl Error {
    /// Returns the code with which to close the connection.
    pub(crate) fn code(&self) -> Code {
        match self {
            Error::Frame(error) => (*error).into(),
            Error::Refused(code) => *code,
            Error::Overflow(_) => Code::Overflow,
            _ => Code::Done,
        }
    }
}
