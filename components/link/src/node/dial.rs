//! Connections that this node establishes and keeps.

use super::{
    Incoming, Inner, Payload,
    backoff::Backoff,
    handshake::{Established, exchange_hellos},
    session::{self, Session},
    within,
};
use crate::{Code, Error, tls};
use futures_lite::future;
use parking_lot::Mutex;
use site::id::EntryId;
use smol::{Task, Timer};
use std::{
    marker::PhantomData,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Keeps a connection to one entry. Dropping it stops further attempts, but does not close an
/// established connection.
#[derive(Debug)]
pub(super) struct Dial<M> {
    address: Arc<Mutex<SocketAddr>>,
    _task: Task<()>,
    payload: PhantomData<fn(M)>,
}

impl<M: Payload> Dial<M> {
    /// Starts to connect, after it has waited for at most `delay` for the entry to connect.
    pub(super) fn start(
        inner: Arc<Inner<M>>,
        entry: EntryId,
        address: SocketAddr,
        delay: Duration,
    ) -> Self {
        let address = Arc::new(Mutex::new(address));
        let task = smol::spawn(keep(inner, entry, address.clone(), delay));
        Self { address, _task: task, payload: PhantomData }
    }

    pub(super) fn set_address(&self, address: SocketAddr) {
        *self.address.lock() = address;
    }
}

async fn keep<M: Payload>(
    inner: Arc<Inner<M>>,
    entry: EntryId,
    address: Arc<Mutex<SocketAddr>>,
    delay: Duration,
) {
    let options = &inner.options;
    if delay > Duration::ZERO {
        within(delay, inner.table.wait_for(entry)).await;
    }
    let mut backoff = Backoff::new(options.min_backoff, options.max_backoff);
    loop {
        let target = *address.lock();
        if inner.in_handshake.lock().contains(&target) {
            within(options.handshake_timeout, inner.table.wait_for(entry)).await;
        }
        let session = match inner.table.of_entry(entry).into_iter().next() {
            Some(session) => Some(session),
            None => attempt(&inner, entry, target).await,
        };
        if let Some(session) = session {
            let since = Instant::now();
            session.finished().await;
            if since.elapsed() >= options.max_backoff {
                backoff.reset();
            }
        }
        Timer::after(backoff.pause()).await;
    }
}

/// Connects once. Stops if meanwhile the peer has established a connection that would be preferred
/// to this one: messages sent on a connection that is then closed as a duplicate would be lost.
/// Returns the connection if one is established.
async fn attempt<M: Payload>(
    inner: &Arc<Inner<M>>,
    entry: EntryId,
    address: SocketAddr,
) -> Option<Arc<Session>> {
    let by_peer = async { Connected::ByPeer(preferred(inner, entry).await) };
    let locally = async { Connected::Locally(connect(inner, entry, address).await) };
    match future::or(by_peer, locally).await {
        Connected::ByPeer(session) => Some(session),
        Connected::Locally(Ok(established)) => settle(inner, established).await,
        Connected::Locally(Err(Error::Closed(Code::Duplicate))) => None,
        Connected::Locally(Err(error)) => {
            inner.counters.failed();
            tracing::debug!(%entry, %address, %error, "can't connect");
            let _ = inner.incoming.send(Incoming::Failed { address, error }).await;
            None
        }
    }
}

/// Waits for a connection of `entry` that is kept even if this node establishes another one.
async fn preferred<M>(inner: &Inner<M>, entry: EntryId) -> Arc<Session> {
    let session = inner.table.wait_for(entry).await;
    match session.peer() < inner.options.home {
        true => session,
        false => future::pending().await,
    }
}

/// A connection by the end that established it, or the error of this end's attempt.
enum Connected {
    ByPeer(Arc<Session>),
    Locally(Result<Established, Error>),
}

async fn connect<M>(
    inner: &Inner<M>,
    entry: EntryId,
    address: SocketAddr,
) -> Result<Established, Error> {
    let client = inner.client.read().clone();
    let connecting = inner.endpoint.connect_with(client, address, &tls::dns_name(entry))?;
    let connection = within(inner.options.handshake_timeout, connecting)
        .await
        .ok_or(Error::Refused(Code::NoHello))??;
    exchange_hellos(inner, connection, Some(entry)).await
}

async fn settle<M: Payload>(
    inner: &Arc<Inner<M>>,
    established: Established,
) -> Option<Arc<Session>> {
    let session = established.session.clone();
    if !inner.table.insert(&session).await {
        session.close(Code::Duplicate);
        return None;
    }
    smol::spawn(session::run(inner.clone(), established)).detach();
    Some(session)
}
