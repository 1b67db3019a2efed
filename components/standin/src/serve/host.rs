//! What the stand-ins for endpoints are to whoever steers them.

use crate::{
    Faults, Ledger,
    serve::{Control, Listener, Node},
};
use std::{io, net::SocketAddr, sync::Arc};
use trillium::Handler;

/// An endpoint that listens, can be steered, killed and revived. Stops when it is dropped.
pub struct Host {
    listener: Arc<Listener>,
    control: Control,
    node: Arc<Node>,
}

impl Host {
    /// Starts to answer with `handler` on `address`.
    pub(crate) fn spawn(
        address: SocketAddr,
        connections: usize,
        node: Arc<Node>,
        control: Control,
        handler: impl Handler + Clone,
    ) -> io::Result<Host> {
        let listener = Listener::spawn(address, Arc::clone(&node), connections, handler)?;
        control.set_listener(&listener);
        Ok(Host { listener, control, node })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.listener.connections()
    }

    /// What it ran and refused, and what other stand-ins did that share the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.node.ledger
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.control.set(faults);
    }

    /// Cuts all connections and stops to listen. Once it returns, connecting is refused.
    pub async fn kill(&self) {
        self.listener.kill().await;
    }

    /// Stops to accept requests, finishes those in progress, and waits until every connection is
    /// closed.
    pub async fn drain(&self) {
        self.listener.drain().await;
    }

    /// Listens again on the same address.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn revive(&self) -> io::Result<()> {
        self.listener.revive()
    }
}
