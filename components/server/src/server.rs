//! Runs the HTTP API on a listening socket.

use crate::{
    Backend, Options,
    handler::Api,
    listen::{self, BindError},
    timeout::Timeouts,
};
use std::{net::SocketAddr, sync::Arc};
use trillium_server_common::ServerHandle;

/// Size of a typical response in bytes.
const RESPONSE_BUFFER_BYTES: usize = 4 << 10;

/// A running HTTP API.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Listens on `address` and serves requests from `backend`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        backend: Arc<dyn Backend>,
        options: Options,
    ) -> Result<Server, BindError> {
        let (listener, address) = listen::bind(address).await?;
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_max_connections(Some(options.connections))
            .with_http_config(listen::http_config(RESPONSE_BUFFER_BYTES))
            .with_acceptor(Timeouts::from(&options))
            .with_prebound_server(listener)
            .spawn(Api::new(backend, options));
        Ok(Server { address, handle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes idle connections, waits until every request in progress has its response, and closes
    /// the listening socket. New connections during this time get no response, so drain first.
    pub async fn stop(&self) {
        self.handle.stop().await;
    }
}
