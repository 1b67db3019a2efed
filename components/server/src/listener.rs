//! A listening socket whose connections are served by the executor of `smol`.
//!
//! `trillium_smol` serves them by an executor of its own, in a thread of its own: in a process that
//! uses `smol` besides, each request wakes both. By a profile of 16 entries at 11 jobs a second each, that
//! thread and the one that then polls sockets took 19% of the samples, and 2% with one executor; all
//! samples became 5% fewer.

use smol::net::TcpListener;
use std::{future::Future, io, pin::Pin};
use trillium::Info;
use trillium_server_common::Server;
use trillium_smol::{SmolTransport, async_net::TcpStream};

/// A listening socket.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl From<TcpListener> for Listener {
    fn from(listener: TcpListener) -> Self {
        Self(listener)
    }
}

impl Server for Listener {
    type Transport = SmolTransport<TcpStream>;
    const DESCRIPTION: &'static str = "";

    fn accept(&mut self) -> Pin<Box<dyn Future<Output = io::Result<Self::Transport>> + Send + '_>> {
        Box::pin(async { self.0.accept().await.map(|(stream, _)| stream.into()) })
    }

    fn info(&self) -> Info {
        // Only tells callers of the library where it listens; nobody here asks.
        self.0.local_addr().map(Info::from).unwrap_or_default()
    }

    fn spawn(task: impl Future<Output = ()> + Send + 'static) {
        smol::spawn(task).detach();
    }

    fn block_on(task: impl Future<Output = ()> + 'static) {
        smol::block_on(task);
    }
}
