//! Connections that this end makes and keeps.

use super::{
    Incoming, Inner, Payload,
    backoff::Backoff,
    greeting::{Greeted, greet},
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

/// Keeps a connection to one entry. Dropping it stops further attempts, and no connection that
/// is up.
#[derive(Debug)]
pub(super) struct Dial<M> {
    address: Arc<Mutex<SocketAddr>>,
    _task: Task<()>,
    payload: PhantomData<fn(M)>,
}

impl<M: Payload> Dial<M> {
    /// Makes no attempt before `patience` is over.
    pub(super) fn start(
        inner: Arc<Inner<M>>,
        entry: EntryId,
        address: SocketAddr,
        patience: Duration,
    ) -> Self {
        let address = Arc::new(Mutex::new(address));
        let task = smol::spawn(keep(inner, entry, address.clone(), patience));
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
    patience: Duration,
) {
    let options = &inner.options;
    if patience > Duration::ZERO {
        within(patience, inner.table.wait_for(entry)).await;
    }
    let mut backoff = Backoff::new(options.min_backoff, options.max_backoff);
    loop {
        let target = *address.lock();
        if inner.arriving.lock().contains(&target) {
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

/// Connects once, unless the other end does first and its connection is the one that would stay of two:
/// all that was sent over the one that is closed again is lost. Returns the connection if one came up.
async fn attempt<M: Payload>(
    inner: &Arc<Inner<M>>,
    entry: EntryId,
    address: SocketAddr,
) -> Option<Arc<Session>> {
    let by_other = async { Made::ByOther(preferred(inner, entry).await) };
    let here = async { Made::Here(connect(inner, entry, address).await) };
    match future::or(by_other, here).await {
        Made::ByOther(session) => Some(session),
        Made::Here(Ok(greeted)) => settle(inner, greeted).await,
        Made::Here(Err(Error::Closed(Code::Duplicate))) => None,
        Made::Here(Err(error)) => {
            inner.counters.failed();
            tracing::debug!(%entry, %address, %error, "can't connect");
            let _ = inner.incoming.send(Incoming::Failed { address, error }).await;
            None
        }
    }
}

/// Waits for a connection that `entry` made and that stays even if this end makes one, too.
async fn preferred<M>(inner: &Inner<M>, entry: EntryId) -> Arc<Session> {
    let session = inner.table.wait_for(entry).await;
    match session.peer() < inner.options.home {
        true => session,
        false => future::pending().await,
    }
}

/// Which end made a connection.
enum Made {
    ByOther(Arc<Session>),
    Here(Result<Greeted, Error>),
}

async fn connect<M>(
    inner: &Inner<M>,
    entry: EntryId,
    address: SocketAddr,
) -> Result<Greeted, Error> {
    let client = inner.client.read().clone();
    let connecting = inner.endpoint.connect_with(client, address, &tls::name(entry))?;
    let connection = within(inner.options.handshake_timeout, connecting)
        .await
        .ok_or(Error::Refused(Code::NoHello))??;
    greet(inner, connection, Some(entry)).await
}

async fn settle<M: Payload>(inner: &Arc<Inner<M>>, greeted: Greeted) -> Option<Arc<Session>> {
    let session = greeted.session.clone();
    if !inner.table.enter(&session).await {
        session.close(Code::Duplicate);
        return None;
    }
    smol::spawn(session::run(inner.clone(), greeted)).detach();
    Some(session)
}
