//! Accepts connections of other entries.

use super::{
    Incoming, Inner, Payload,
    handshake::{Established, exchange_hellos},
    session, within,
};
use crate::{Code, Error};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Accepts connections until the endpoint is closed.
pub(super) async fn accept<M: Payload>(inner: Arc<Inner<M>>) {
    let pending = Arc::new(AtomicUsize::new(0));
    while let Some(incoming) = inner.endpoint.accept().await {
        if pending.fetch_add(1, Relaxed) >= inner.options.max_pending {
            pending.fetch_sub(1, Relaxed);
            inner.counters.failed();
            incoming.refuse();
            continue;
        }
        let (inner, pending) = (inner.clone(), pending.clone());
        smol::spawn(async move {
            let address = incoming.remote_address();
            inner.in_handshake.lock().insert(address);
            let established = admit(&inner, incoming).await;
            inner.in_handshake.lock().remove(&address);
            pending.fetch_sub(1, Relaxed);
            match established {
                Ok(established) => settle(inner, established).await,
                Err(error) => report(&inner, Incoming::Failed { address, error }),
            }
        })
        .detach();
    }
}

async fn admit<M>(inner: &Inner<M>, incoming: quinn::Incoming) -> Result<Established, Error> {
    let connecting = incoming.accept()?;
    let connection = within(inner.options.handshake_timeout, connecting)
        .await
        .ok_or(Error::Refused(Code::NoHello))??;
    exchange_hellos(inner, connection, None).await
}

async fn settle<M: Payload>(inner: Arc<Inner<M>>, established: Established) {
    if inner.table.insert(&established.session).await {
        session::run(inner, established).await;
    } else {
        established.session.close(Code::Duplicate);
    }
}

/// Reports a failed connection without waiting, and drops the report if the queue is full: peers
/// that are not authenticated must not be able to block the queue.
fn report<M>(inner: &Inner<M>, failed: Incoming<M>) {
    inner.counters.failed();
    if let Incoming::Failed { address, error } = &failed {
        tracing::debug!(%address, %error, "connection not accepted");
    }
    let _ = inner.incoming.try_send(failed);
}
