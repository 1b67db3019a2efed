//! Connections that others make.

use super::{
    Incoming, Inner, Payload,
    greeting::{Greeted, greet},
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
            inner.arriving.lock().insert(address);
            let greeted = admit(&inner, incoming).await;
            inner.arriving.lock().remove(&address);
            pending.fetch_sub(1, Relaxed);
            match greeted {
                Ok(greeted) => settle(inner, greeted).await,
                Err(error) => report(&inner, Incoming::Failed { address, error }),
            }
        })
        .detach();
    }
}

async fn admit<M>(inner: &Inner<M>, incoming: quinn::Incoming) -> Result<Greeted, Error> {
    let connecting = incoming.accept()?;
    let connection = within(inner.options.handshake_timeout, connecting)
        .await
        .ok_or(Error::Refused(Code::NoHello))??;
    greet(inner, connection, None).await
}

async fn settle<M: Payload>(inner: Arc<Inner<M>>, greeted: Greeted) {
    if inner.table.enter(&greeted.session).await {
        session::run(inner, greeted).await;
    } else {
        greeted.session.close(Code::Duplicate);
    }
}

/// Strangers must not be able to fill the owner's queue, so this never waits.
fn report<M>(inner: &Inner<M>, failed: Incoming<M>) {
    inner.counters.failed();
    if let Incoming::Failed { address, error } = &failed {
        tracing::debug!(%address, %error, "connection not accepted");
    }
    let _ = inner.incoming.try_send(failed);
}
