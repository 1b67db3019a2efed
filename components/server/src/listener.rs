//! Listening socket whose connections are served by the executor of `smol`.
//!
//! `trillium_smol` uses its own executor with its own thread. In a process that also uses `smol`,
//! each request then wakes both executors. In a profile of 16 entries at 11 jobs per second each,
//! that thread and the one that polls sockets took 19% of the samples, against 2% with a single
//! executor; the total number of samples dropped by 5%.

use crate::connection::{Connection, Observer};
use arrival::Moment;
use nix::sys::socket::{setsockopt, sockopt::ReceiveTimestampns};
use site::unit::Time;
use smol::{
    future,
    net::{TcpListener, TcpStream},
    pin,
};
use std::{future::Future, io, pin::Pin, task::Context};
use trillium::Info;
use trillium_server_common::Server;

/// Listening socket on the executor of `smol`.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    observer: Observer,
    /// At this time there was no connection to accept.
    emptied: Time,
}

impl Listener {
    /// Creates a listener whose connections tell when their requests can have arrived. `observer`
    /// describes the present moment.
    pub fn new(socket: TcpListener, observer: Observer) -> Self {
        // Accepted connections inherit the option. Without time stamps, requests count as older after a
        // pause of the process.
        if let Err(error) = setsockopt(&socket, ReceiveTimestampns, &true) {
            tracing::warn!(%error, "requests get no time stamps from the kernel");
        }
        let emptied = observer.moment().now;
        Self { socket, observer, emptied }
    }

    async fn accept_stream(&mut self) -> io::Result<TcpStream> {
        let Self { socket, observer, emptied } = self;
        let accept = socket.accept();
        pin!(accept);
        let accepted = future::poll_fn(|context: &mut Context<'_>| {
            let Moment { now, .. } = observer.moment();
            let accepted = accept.as_mut().poll(context);
            if accepted.is_pending() {
                *emptied = now;
            }
            accepted
        });
        accepted.await.map(|(stream, _)| stream)
    }
}

impl Server for Listener {
    type Transport = Connection;
    const DESCRIPTION: &'static str = "";

    fn accept(&mut self) -> Pin<Box<dyn Future<Output = io::Result<Self::Transport>> + Send + '_>> {
        Box::pin(async {
            let stream = self.accept_stream().await?;
            Ok(Connection::new(stream, self.observer.clone(), self.emptied))
        })
    }

    fn info(&self) -> Info {
        // Only informs users of the library about the address; not used here.
        self.socket.local_addr().map(Info::from).unwrap_or_default()
    }

    fn spawn(task: impl Future<Output = ()> + Send + 'static) {
        smol::spawn(task).detach();
    }

    fn block_on(task: impl Future<Output = ()> + 'static) {
        smol::block_on(task);
    }
}
