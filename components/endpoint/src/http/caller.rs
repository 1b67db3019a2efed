//! Plain calls: any request to any address, over connections that are kept open.

use crate::{
    class::Failure,
    http::{Meter, Options, Request, host::Hosts},
    reply::Unsent,
};
use bytes::Bytes;
use derive_more::{Display, Error};
use smol::{Timer, future::FutureExt};
use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};
use trillium_client::{Method, Url};

/// A request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The method.
    pub method: Method,
    /// Path and query, escaped.
    pub path: String,
    /// Headers besides those that the transport sets.
    pub headers: Vec<(&'static str, String)>,
    /// The body, `application/json` unless empty.
    pub body: Bytes,
    /// Most time until the whole answer is there, connecting included.
    pub time_limit: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Failed {
    /// The address is not one that a URL can hold, or the path is malformed.
    #[display("the request is malformed")]
    Invalid,
    /// Nothing of the request left this process.
    #[display("nothing was sent: {_0:?}")]
    Unsent(#[error(not(source))] Unsent),
    /// The request left, in part at least, and may be carried out.
    #[display("the connection ended before the answer")]
    Lost,
    /// The same, and the time is up.
    #[display("no answer in time")]
    TimedOut,
}

/// Makes calls. Idle connections are closed after [`Options::idle_limit`].
#[derive(Debug)]
pub struct Caller {
    options: Options,
    /// Most connections to one address.
    connections: u32,
    hosts: Arc<Hosts>,
}

impl Caller {
    /// A caller that opens at most `connections` to one address. Idle connections are closed by a
    /// task on the global executor of `smol`.
    pub fn new(connections: u32, options: Options) -> Self {
        let hosts = Arc::new(Hosts::default());
        let limit = Duration::from_micros(options.idle_limit.0);
        smol::spawn(sweep(Arc::downgrade(&hosts), limit)).detach();
        Self { options, connections, hosts }
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Says whether the request may be carried out all the same.
    pub async fn ask(&self, address: SocketAddr, ask: Ask) -> Result<Reply, Failed> {
        let meter = Arc::new(Meter::new());
        let limit = ask.time_limit;
        let request = request(address, ask)?;
        let timeout = async {
            timer::after(limit).await;
            Err(match meter.sent() {
                true => Failed::TimedOut,
                false => Failed::Unsent(Unsent::ConnectTimedOut),
            })
        };
        let result = self.exchange(address, &request, &meter).or(timeout).await;
        if matches!(result, Err(Failed::TimedOut)) {
            // Other connections may have gone silent with this one.
            self.hosts.get(address).condemn();
        }
        result
    }

    /// Sends over a kept connection; over another one as long as nothing was written.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: &Request,
        meter: &Arc<Meter>,
    ) -> Result<Reply, Failed> {
        let host = self.hosts.get(address);
        loop {
            let acquired = host.acquire(self.connections, &self.options, || meter.set_connected());
            let mut connection = acquired.await.map_err(Failed::Unsent)?;
            let is_new = connection.opened == connection.idle_since;
            match connection.exchange(request, meter).await {
                Ok(exchange) => {
                    if exchange.reusable {
                        host.release(connection, self.connections);
                    }
                    let answer = exchange.answer;
                    return Ok(Reply { status: answer.status, body: answer.body });
                }
                Err(Failure::Unsent(Unsent::Closed)) if !is_new => {}
                Err(Failure::Unsent(why)) => return Err(Failed::Unsent(why)),
                Err(Failure::Lost(_) | Failure::Dead) => return Err(Failed::Lost),
            }
        }
    }
}

fn request(address: SocketAddr, ask: Ask) -> Result<Request, Failed> {
    let url = format!("http://{address}{}", ask.path);
    let url: Url = url.parse().map_err(|_| Failed::Invalid)?;
    let mut request = Request::control(ask.method, url);
    request.headers = ask.headers;
    if !ask.body.is_empty() {
        request.content_type = "application/json".into();
    }
    request.body = ask.body;
    request.body_limit = site::unit::Memory(BODY_LIMIT);
    Ok(request)
}

/// Largest body of an answer: a whole value of the platform's store as base64, and then some.
const BODY_LIMIT: u64 = 4 << 20;

async fn sweep(hosts: Weak<Hosts>, limit: Duration) {
    loop {
        Timer::after(limit / 2).await;
        let Some(hosts) = hosts.upgrade() else { return };
        hosts.sweep(limit);
    }
}
