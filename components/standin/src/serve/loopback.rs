//! A server on a loopback address, for stand-ins and tests with their own handlers.

use super::listener::bind;
use std::{io, net::SocketAddr};
use trillium::Handler;
use trillium_smol::Stopper;

/// A server on a loopback address. Stops when it is dropped.
#[derive(Debug)]
pub struct Loopback {
    /// The address that the server listens on.
    pub address: SocketAddr,
    stopper: Stopper,
}

impl Loopback {
    /// Serves `handler` on a port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(handler: impl Handler) -> io::Result<Loopback> {
        let (listener, address) = bind(([127, 0, 0, 1], 0).into())?;
        let stopper = Stopper::new();
        trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_stopper(stopper.clone())
            .with_prebound_server(listener)
            .spawn(handler);
        Ok(Loopback { address, stopper })
    }
}

impl Drop for Loopback {
    fn drop(&mut self) {
        self.stopper.stop();
    }
}
