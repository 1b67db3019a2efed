//! One connection to one peer, from its hello to its end.

use super::{
    Incoming, Inner, Payload,
    greeting::{CHUNK, Greeted, read_error, write_error},
    outbox::{Batch, Full, Outbox},
    traffic::Datagrams,
};
use crate::{Code, Error, Options};
use futures_lite::future;
use quinn::{Connection, RecvStream, SendStream};
use serde::Serialize;
use site::id::Home;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{Decoder, Hello};

/// One connection to one peer.
#[derive(Debug)]
pub(super) struct Session {
    hello: Hello,
    /// This end made the connection.
    dialled: bool,
    since: Instant,
    connection: Connection,
    outbox: Outbox,
    /// Closed at the end; carries nothing.
    end: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Session {
    pub(super) fn new(
        options: &Options,
        connection: Connection,
        hello: Hello,
        dialled: bool,
    ) -> Self {
        let capacity = usize::try_from(options.queue.0).unwrap_or(usize::MAX);
        Self {
            hello,
            dialled,
            since: Instant::now(),
            connection,
            outbox: Outbox::new(options.limit, capacity.max(options.limit.bytes())),
            end: async_channel::bounded(1),
        }
    }

    pub(super) fn peer(&self) -> Home {
        self.hello.home
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.hello.addresses
    }

    pub(super) fn dialled(&self) -> bool {
        self.dialled
    }

    /// Time since the hellos were exchanged.
    pub(super) fn age(&self) -> Duration {
        self.since.elapsed()
    }

    pub(super) fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    pub(super) fn datagrams(&self) -> Datagrams {
        let stats = self.connection.stats();
        Datagrams { received: stats.udp_rx.bytes, sent: stats.udp_tx.bytes }
    }

    pub(super) fn send(&self, message: &impl Serialize) -> Result<(), Error> {
        self.outbox.push(message).map_err(|full| match full {
            Full::Closed => Error::NotConnected(self.peer()),
            Full::Frame(error) => Error::Frame(error),
            Full::Overflow => {
                self.close(Code::Overflow);
                Error::Overflow(self.peer())
            }
        })
    }

    /// Ends the connection now.
    pub(super) fn close(&self, code: Code) {
        self.outbox.close();
        self.connection.close(code.into(), b"");
    }

    /// Ends the connection once everything queued has arrived.
    pub(super) fn finish(&self) {
        self.outbox.close();
    }

    /// Waits until the connection has ended and its owner has been told.
    pub(super) async fn finished(&self) {
        // Nothing is ever sent, so this ends when the channel is closed.
        let _ = self.end.1.recv().await;
    }
}

/// Runs a connection that has its place in the table until it ends.
pub(super) async fn run<M: Payload>(inner: Arc<Inner<M>>, greeted: Greeted) {
    let Greeted { session, send, recv, decoder } = greeted;
    let peer = session.peer();
    inner.counters.connected();
    tracing::info!(%peer, dialled = session.dialled, "connected");
    tell(&inner, Incoming::Up { peer }).await;
    let reader = read(&inner, peer, recv, decoder);
    let writer = write(&inner, &session.outbox, send);
    let result = future::or(reader, writer).await;
    tracing::info!(%peer, end = %describe(&result), "disconnected");
    session.close(result.map_or_else(|error| error.code(), |()| Code::Done));
    inner.counters.ended(session.datagrams());
    tell(&inner, Incoming::Down { peer }).await;
    inner.table.remove(peer);
    session.end.1.close();
}

async fn tell<M>(inner: &Inner<M>, event: Incoming<M>) {
    // Without an owner nobody needs to know.
    let _ = inner.incoming.send(event).await;
}

fn describe(result: &Result<(), Error>) -> String {
    result.as_ref().err().map_or_else(|| Code::Done.to_string(), Error::to_string)
}

/// Ends without an error when the peer ends its stream between two frames.
async fn read<M: Payload>(
    inner: &Inner<M>,
    from: Home,
    mut recv: RecvStream,
    mut decoder: Decoder,
) -> Result<(), Error> {
    loop {
        while let Some(frame) = decoder.take()? {
            inner.counters.received();
            tell(inner, Incoming::Message { from, message: frame.message }).await;
        }
        let Some(chunk) = recv.read_chunk(CHUNK, true).await.map_err(read_error)? else {
            decoder.finish()?;
            return Ok(());
        };
        inner.counters.read(chunk.bytes.len());
        decoder.feed(&chunk.bytes);
    }
}

/// Ends without an error when everything has arrived and nothing more will be sent.
async fn write<M>(inner: &Inner<M>, outbox: &Outbox, mut send: SendStream) -> Result<(), Error> {
    let mut written = Vec::new();
    loop {
        match outbox.next(written).await {
            Batch::Write(batch) => {
                send.write_all(&batch).await.map_err(write_error)?;
                inner.counters.wrote(batch.len());
                written = batch;
            }
            Batch::End => return end(send).await,
        }
    }
}

/// Ends the stream and waits until the peer has it all.
async fn end(mut send: SendStream) -> Result<(), Error> {
    // Fails only on a stream that has ended already.
    let _ = send.finish();
    // An error means that the connection is gone, so there is nothing left to wait for.
    let _ = send.stopped().await;
    Ok(())
}
