//! Starts and stops the server of an endpoint on a fixed address.

use crate::serve::EndpointState;
use parking_lot::Mutex;
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};
use trillium::Handler;
use trillium_server_common::ServerHandle;
use trillium_smol::async_net;

/// A server on one address, which it keeps over a kill and a restart.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    endpoint: Arc<EndpointState>,
    /// Starts a server on a socket.
    start: Box<dyn Fn(async_net::TcpListener) -> ServerHandle + Send + Sync>,
    /// The running server, or the last one if it was killed.
    server: Mutex<ServerHandle>,
}

impl Listener {
    pub(crate) fn spawn(
        address: SocketAddr,
        endpoint: Arc<EndpointState>,
        connections: usize,
        handler: impl Handler + Clone,
    ) -> io::Result<Arc<Listener>> {
        let (socket, address) = bind(address)?;
        let start = Box::new(move |socket: async_net::TcpListener| {
            trillium_smol::config()
                .with_prebound_server(socket)
                .without_signals()
                .with_nodelay()
                .with_max_connections(Some(connections))
                .spawn(handler.clone())
        });
        let server = Mutex::new(start(socket));
        Ok(Arc::new(Listener { address, endpoint, start, server }))
    }

    /// Returns the number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.server.lock().observer().current()
    }

    /// Closes all connections and stops listening. Once it returns, connections are refused.
    pub(crate) async fn kill(&self) {
        let server = self.server.lock().clone();
        server.stopper().stop();
        self.endpoint.cut();
        server.stop().await;
    }

    /// Stops accepting requests, finishes those in progress, and waits until every connection is
    /// closed.
    pub(crate) async fn drain(&self) {
        let server = self.server.lock().clone();
        server.stop().await;
    }

    /// Listens again on the same address.
    pub(crate) fn restart(&self) -> io::Result<()> {
        let (socket, _) = bind(self.address)?;
        *self.server.lock() = (self.start)(socket);
        Ok(())
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.server.lock().stopper().stop();
        self.endpoint.cut();
    }
}

pub(super) fn bind(address: SocketAddr) -> io::Result<(async_net::TcpListener, SocketAddr)> {
    let socket = TcpListener::bind(address)?;
    socket.set_nonblocking(true)?;
    let address = socket.local_addr()?;
    Ok((socket.try_into()?, address))
}
