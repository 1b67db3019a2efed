//! Runtime for quinn: `smol`, with timers that need no system calls.

use quinn::{AsyncTimer, AsyncUdpSocket, Runtime, SmolRuntime};
use std::{
    future::Future,
    io,
    net::UdpSocket,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

/// Runtime for quinn.
#[derive(Debug)]
pub(super) struct Smol;

#[derive(Debug)]
struct Deadline(timer::Deadline);

impl Runtime for Smol {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        Box::pin(Deadline(timer::Deadline::at(at)))
    }

    fn spawn(&self, task: Pin<Box<dyn Future<Output = ()> + Send>>) {
        smol::spawn(task).detach();
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}

impl AsyncTimer for Deadline {
    fn reset(mut self: Pin<&mut Self>, at: Instant) {
        self.0.reset(at);
    }

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(context)
    }
}
