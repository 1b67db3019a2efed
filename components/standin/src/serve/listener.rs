//! Listening, and stopping to listen without a trace.

use crate::serve::Node;
use parking_lot::Mutex;
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};
use trillium::Handler;
use trillium_server_common::ServerHandle;
use trillium_smol::async_net;

/// Listens on one address, also after it was killed.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    node: Arc<Node>,
    /// Starts a server on a socket.
    start: Box<dyn Fn(async_net::TcpListener) -> ServerHandle + Send + Sync>,
    /// The server that runs now, or ran last.
    server: Mutex<ServerHandle>,
}

impl Listener {
    pub(crate) fn spawn(
        address: SocketAddr,
        node: Arc<Node>,
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
        Ok(Arc::new(Listener { address, node, start, server }))
    }

    /// Connections open now.
    pub(crate) fn connections(&self) -> usize {
        self.server.lock().observer().current()
    }

    /// Cuts all connections and stops to listen. Once it returns, connecting is refused.
    pub(crate) async fn kill(&self) {
        let server = self.server.lock().clone();
        server.stopper().stop();
        self.node.cut();
        server.stop().await;
    }

    /// Stops to accept requests, finishes those in progress, and waits until every connection is
    /// closed.
    pub(crate) async fn drain(&self) {
        let server = self.server.lock().clone();
        server.stop().await;
    }

    /// Listens again on the same address.
    pub(crate) fn revive(&self) -> io::Result<()> {
        let (socket, _) = bind(self.address)?;
        *self.server.lock() = (self.start)(socket);
        Ok(())
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.server.lock().stopper().stop();
        self.node.cut();
    }
}

pub(super) fn bind(address: SocketAddr) -> io::Result<(async_net::TcpListener, SocketAddr)> {
    let socket = TcpListener::bind(address)?;
    socket.set_nonblocking(true)?;
    let address = socket.local_addr()?;
    Ok((socket.try_into()?, address))
}
