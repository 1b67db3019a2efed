//! The listening socket.

use crate::{
    Backend, Options,
    guard::Limits,
    handler::Interface,
    listen::{self, BindError},
};
use std::{net::SocketAddr, sync::Arc};
use trillium_server_common::ServerHandle;

/// Size of a usual answer in bytes.
const RESPONSE_BUFFER: usize = 4 << 10;

/// A running interface.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Listens on `address` and answers from `backend`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        backend: Arc<dyn Backend>,
        options: Options,
    ) -> Result<Server, BindError> {
        let (listener, address) = listen::listen(address).await?;
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_max_connections(Some(options.connections))
            .with_http_config(listen::config(RESPONSE_BUFFER))
            .with_acceptor(Limits::from(&options))
            .with_prebound_server(listener)
            .spawn(Interface::new(backend, options));
        Ok(Server { address, handle })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes idle connections, waits until every request in progress has its answer, and closes
    /// the listening socket. Connections made meanwhile get no answer, so drain first.
    pub async fn stop(&self) {
        self.handle.stop().await;
    }
}
