//! The part of an endpoint's stand-in that tests use: address, faults, ledger, kill and restart.

use crate::{
    Faults, Ledger,
    serve::{Control, EndpointState, Listener},
};
use std::{io, net::SocketAddr, sync::Arc};
use trillium::Handler;

/// A listening endpoint whose faults can be set, and that can be killed and restarted. Stops when
/// it is dropped.
pub struct Host {
    listener: Arc<Listener>,
    control: Control,
    endpoint: Arc<EndpointState>,
}

impl Host {
    /// Starts to serve `handler` on `address` with at most `connections` connections.
    pub(crate) fn spawn(
        address: SocketAddr,
        connections: usize,
        endpoint: Arc<EndpointState>,
        control: Control,
        handler: impl Handler + Clone,
    ) -> io::Result<Host> {
        let listener = Listener::spawn(address, Arc::clone(&endpoint), connections, handler)?;
        control.set_listener(&listener);
        Ok(Host { listener, control, endpoint })
    }

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.listener.connections()
    }

    /// Returns the ledger, which other stand-ins may share.
    pub fn ledger(&self) -> &Ledger {
        &self.endpoint.ledger
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.control.set(faults);
    }

    /// Closes all connections and stops listening. Once it returns, connections are refused.
    pub async fn kill(&self) {
        self.listener.kill().await;
    }

    /// Stops accepting requests, finishes those in progress, and waits until every connection is
    /// closed.
    pub async fn drain(&self) {
        self.listener.drain().await;
    }

    /// Listens again on the same address.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn restart(&self) -> io::Result<()> {
        self.listener.restart()
    }
}
