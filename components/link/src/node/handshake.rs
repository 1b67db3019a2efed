//! The exchange of hellos, which are the first frames of a connection, and the check of the peer's
//! identity.

use super::{Inner, session::Session, within};
use crate::{Code, Error, tls};
use quinn::{Connection, ReadError, RecvStream, SendStream, WriteError};
use rustls::pki_types::CertificateDer;
use site::id::EntryId;
use std::sync::Arc;
use wire::{Decoder, Frame, Hello, hello::MAX_ADDRESSES};

/// Maximum size of a read from a stream, in bytes.
pub(super) const READ_SIZE: usize = 64 << 10;

/// A connection whose peer is authenticated.
#[derive(Debug)]
pub(super) struct Established {
    pub(super) session: Arc<Session>,
    pub(super) send: SendStream,
    pub(super) recv: RecvStream,
    /// May contain frames that arrived together with the hello.
    pub(super) decoder: Decoder,
}

/// Exchanges hellos. `dialled` is the entry that this node connected to; `None` if it accepted the
/// connection. Closes the connection on an error.
pub(super) async fn exchange_hellos<M>(
    inner: &Inner<M>,
    connection: Connection,
    dialled: Option<EntryId>,
) -> Result<Established, Error> {
    let limit = inner.options.handshake_timeout;
    let established = within(limit, exchange(inner, &connection, dialled)).await;
    established.unwrap_or(Err(Error::Refused(Code::NoHello))).inspect_err(|error| {
        connection.close(error.code().into(), b"");
    })
}

async fn exchange<M>(
    inner: &Inner<M>,
    connection: &Connection,
    dialled: Option<EntryId>,
) -> Result<Established, Error> {
    let mut send = connection.open_uni().await?;
    send.write_all(&own_hello(inner)?).await.map_err(write_error)?;
    let mut recv = connection.accept_uni().await?;
    let mut decoder = Decoder::new(inner.options.limit);
    let hello = read_hello(&mut recv, &mut decoder).await?;
    check(inner, connection, &hello, dialled)?;
    let session = Session::new(&inner.options, connection.clone(), hello, dialled.is_some());
    Ok(Established { session: Arc::new(session), send, recv, decoder })
}

fn own_hello<M>(inner: &Inner<M>) -> Result<Vec<u8>, Error> {
    let options = &inner.options;
    let addresses = match options.addresses.is_empty() {
        true => vec![inner.address],
        false => options.addresses.iter().copied().take(MAX_ADDRESSES).collect(),
    };
    let mut bytes = Vec::new();
    let hello = Hello { home: options.home, addresses };
    Frame::new(hello).encode(options.limit, &mut bytes)?;
    Ok(bytes)
}

async fn read_hello(recv: &mut RecvStream, decoder: &mut Decoder) -> Result<Hello, Error> {
    loop {
        if let Some(frame) = decoder.take::<Hello>()? {
            return Ok(frame.message);
        }
        match recv.read_chunk(READ_SIZE, true).await.map_err(read_error)? {
            Some(chunk) => decoder.feed(&chunk.bytes),
            None => return Err(Error::Refused(Code::NoHello)),
        }
    }
}

/// Checks that the peer's certificate matches its hello and the entry that this node connected to.
fn check<M>(
    inner: &Inner<M>,
    connection: &Connection,
    hello: &Hello,
    dialled: Option<EntryId>,
) -> Result<(), Error> {
    let entry = hello.home.entry;
    let identity = connection.peer_identity();
    let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let named = chain.and_then(|chain| chain.first().map(|own| tls::has_dns_name(own, entry)));
    let expected = dialled.is_none_or(|asked| asked == entry);
    let other = hello.home != inner.options.home;
    match named == Some(true) && expected && other && hello.addresses.len() <= MAX_ADDRESSES {
        true => Ok(()),
        false => Err(Error::Refused(Code::Identity)),
    }
}

pub(super) fn read_error(error: ReadError) -> Error {
    match error {
        ReadError::ConnectionLost(error) => error.into(),
        _ => Error::Lost(quinn::ConnectionError::Reset),
    }
}

pub(super) fn write_error(error: WriteError) -> Error {
    match error {
        WriteError::ConnectionLost(error) => error.into(),
        _ => Error::Lost(quinn::ConnectionError::Reset),
    }
}
