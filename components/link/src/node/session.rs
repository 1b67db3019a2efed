//! An established connection to one peer, from the hello to its end.

use super::{
    Incoming, Inner, Payload,
    handshake::{Established, READ_SIZE, read_error, write_error},
    response::Response,
    send_queue::{Batch, PushError, SendQueue},
    traffic::Datagrams,
};
use crate::{Code, Error, Options};
use futures_lite::future;
use parking_lot::Mutex;
use quinn::{Connection, RecvStream, SendStream};
use serde::Serialize;
use site::id::Home;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{Decoder, Hello};

/// An established connection to one peer.
#[derive(Debug)]
pub(super) struct Session {
    hello: Hello,
    /// Whether this node established the connection.
    dialled: bool,
    since: Instant,
    connection: Connection,
    queue: SendQueue,
    response: Mutex<Response>,
    /// Closed when the session has ended; carries no messages.
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
            queue: SendQueue::new(options.limit, capacity.max(options.limit.bytes())),
            response: Mutex::default(),
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

    /// Returns the time since the hellos were exchanged.
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
        self.queue.push(message).map_err(|error| match error {
            PushError::Closed => Error::NotConnected(self.peer()),
            PushError::Frame(error) => Error::Frame(error),
            PushError::Overflow => {
                self.close(Code::Overflow);
                Error::Overflow(self.peer())
            }
        })?;
        self.response.lock().sent();
        Ok(())
    }

    /// Returns whether the peer has become unresponsive. See [`Response::takes_longer_than`].
    pub(super) fn becomes_unresponsive(&self, limit: Duration) -> bool {
        self.response.lock().takes_longer_than(limit, &self.connection)
    }

    /// Closes the connection at once.
    pub(super) fn close(&self, code: Code) {
        self.queue.close();
        self.connection.close(code.into(), b"");
    }

    /// Closes the connection after all queued messages have arrived.
    pub(super) fn finish(&self) {
        self.queue.close();
    }

    /// Waits until the connection has ended and its `Down` event was queued.
    pub(super) async fn finished(&self) {
        // Nothing is ever sent, so this returns when the channel is closed.
        let _ = self.end.1.recv().await;
    }
}

/// Runs a session that was added to the table until its connection ends.
pub(super) async fn run<M: Payload>(inner: Arc<Inner<M>>, established: Established) {
    let Established { session, send, recv, decoder } = established;
    let peer = session.peer();
    inner.counters.connected();
    tracing::info!(%peer, dialled = session.dialled, "connected");
    emit(&inner, Incoming::Up { peer }).await;
    let reader = read(&inner, &session, recv, decoder);
    let writer = write(&inner, &session.queue, send);
    let result = future::or(reader, writer).await;
    tracing::info!(%peer, end = %describe(&result), "disconnected");
    session.close(result.map_or_else(|error| error.code(), |()| Code::Done));
    inner.counters.ended(session.datagrams());
    emit(&inner, Incoming::Down { peer }).await;
    inner.table.remove(peer);
    session.end.1.close();
}

async fn emit<M>(inner: &Inner<M>, event: Incoming<M>) {
    // The receiver may have been dropped.
    let _ = inner.incoming.send(event).await;
}

fn describe(result: &Result<(), Error>) -> String {
    result.as_ref().err().map_or_else(|| Code::Done.to_string(), Error::to_string)
}

/// Reads messages. Returns without an error when the peer ends its stream between two frames.
async fn read<M: Payload>(
    inner: &Inner<M>,
    session: &Session,
    mut recv: RecvStream,
    mut decoder: Decoder,
) -> Result<(), Error> {
    let from = session.peer();
    loop {
        while let Some(frame) = decoder.take()? {
            inner.counters.received();
            emit(inner, Incoming::Message { from, message: frame.message }).await;
        }
        let Some(chunk) = recv.read_chunk(READ_SIZE, true).await.map_err(read_error)? else {
            decoder.finish()?;
            return Ok(());
        };
        inner.counters.read(chunk.bytes.len());
        session.response.lock().received();
        decoder.feed(&chunk.bytes);
    }
}

/// Writes queued messages. Returns without an error when all of them have arrived and the queue is
/// closed.
async fn write<M>(inner: &Inner<M>, queue: &SendQueue, mut send: SendStream) -> Result<(), Error> {
    let mut written = Vec::new();
    loop {
        match queue.next(written).await {
            Batch::Write(batch) => {
                send.write_all(&batch).await.map_err(write_error)?;
                inner.counters.wrote(batch.len());
                written = batch;
            }
            Batch::End => return end(send).await,
        }
    }
}

/// Ends the stream and waits until the peer has acknowledged it.
async fn end(mut send: SendStream) -> Result<(), Error> {
    // Fails only if the stream has already ended.
    let _ = send.finish();
    // An error means that the connection is lost, so there is nothing to wait for.
    let _ = send.stopped().await;
    Ok(())
}
