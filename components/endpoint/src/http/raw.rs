//! Client for plain HTTP requests to any address, with connection pools.

use crate::{
    classify::Failure,
    http::{Meter, Options, Request, host::Hosts},
    reply::{Loss, Unsent},
};
use bytes::Bytes;
use derive_more::{Display, Error};
use site::unit::Span;
use smol::{Timer, future::FutureExt};
use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};
use trillium_client::{Method, Url};

/// A plain HTTP request.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, percent-encoded.
    pub path: String,
    /// Headers in addition to those that the client sets.
    pub headers: Vec<(&'static str, String)>,
    /// Body of type `application/json`, or empty.
    pub body: Bytes,
    /// Timeout until the whole response has arrived, including the time to connect.
    pub time_limit: Duration,
}

/// A complete response to a plain request.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// HTTP status.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
    /// The `Retry-After` header; `None` if absent or not a number.
    pub retry_after: Option<Span>,
}

/// Why a plain request has no response.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum RequestError {
    /// The address is not one that a URL can hold, or the path is malformed.
    #[display("the request is malformed")]
    Invalid,
    /// No byte of the request was sent.
    #[display("the request was not sent: {_0:?}")]
    Unsent(#[error(not(source))] Unsent),
    /// The request was sent at least in part, and may be executed.
    #[display("the connection ended before the response")]
    Lost,
    /// The response is larger than this client reads; the request was executed, or rejected.
    #[display("the response is larger than {BODY_LIMIT} bytes")]
    TooLarge,
    /// The request was sent at least in part when the timeout ended it, and may be executed.
    #[display("timed out waiting for the response")]
    TimedOut,
}

/// Client for plain HTTP requests. Idle connections are closed after [`Options::idle_limit`].
#[derive(Debug)]
pub struct RawClient {
    options: Options,
    /// Maximum number of connections to one address.
    connections: u32,
    hosts: Arc<Hosts>,
}

impl RawClient {
    /// Returns a client with at most `connections` connections to one address. Idle connections are
    /// closed by a task on the global executor of `smol`.
    pub fn new(connections: u32, options: Options) -> Self {
        let hosts = Arc::new(Hosts::default());
        let limit = Duration::from_micros(options.idle_limit.0);
        smol::spawn(sweep(Arc::downgrade(&hosts), limit)).detach();
        Self { options, connections, hosts }
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// The error tells whether the request may nevertheless be executed.
    pub async fn send(
        &self,
        address: SocketAddr,
        raw: RawRequest,
    ) -> Result<RawResponse, RequestError> {
        let meter = Arc::new(Meter::new());
        let limit = raw.time_limit;
        let request = request(address, raw)?;
        let timeout = async {
            timer::after(limit).await;
            Err(match meter.sent() {
                true => RequestError::TimedOut,
                false => RequestError::Unsent(Unsent::ConnectTimedOut),
            })
        };
        let result = self.exchange(address, &request, &meter).or(timeout).await;
        if matches!(result, Err(RequestError::TimedOut)) {
            // Other connections to the host may be dead as well.
            self.hosts.get(address).retire();
        }
        result
    }

    /// Sends the request over a pooled connection. Uses another one if the first was closed before
    /// any byte was sent.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: &Request,
        meter: &Arc<Meter>,
    ) -> Result<RawResponse, RequestError> {
        let host = self.hosts.get(address);
        loop {
            let acquired = host.acquire(self.connections, &self.options, || meter.set_connected());
            let mut connection = acquired.await.map_err(RequestError::Unsent)?;
            let is_new = connection.opened == connection.idle_since;
            match connection.exchange(request, meter).await {
                Ok(exchange) => {
                    if exchange.reusable {
                        host.release(connection, self.connections);
                    }
                    let response = exchange.response;
                    return Ok(RawResponse {
                        status: response.status,
                        body: response.body,
                        retry_after: response.retry_after,
                    });
                }
                Err(Failure::Unsent(Unsent::Closed)) if !is_new => {}
                Err(Failure::Unsent(why)) => return Err(RequestError::Unsent(why)),
                Err(Failure::Lost(Loss::TooLarge)) => return Err(RequestError::TooLarge),
                Err(Failure::Lost(_) | Failure::Dead) => return Err(RequestError::Lost),
            }
        }
    }
}

fn request(address: SocketAddr, raw: RawRequest) -> Result<Request, RequestError> {
    let url = format!("http://{address}{}", raw.path);
    let url: Url = url.parse().map_err(|_| RequestError::Invalid)?;
    let mut request = Request::control(raw.method, url);
    request.headers = raw.headers;
    if !raw.body.is_empty() {
        request.content_type = "application/json".into();
    }
    request.body = raw.body;
    request.body_limit = site::unit::Memory(BODY_LIMIT);
    Ok(request)
}

/// Maximum size of a response body. A value of the platform's store in base64 fits.
const BODY_LIMIT: u64 = 4 << 20;

async fn sweep(hosts: Weak<Hosts>, limit: Duration) {
    loop {
        Timer::after(limit / 2).await;
        let Some(hosts) = hosts.upgrade() else { return };
        hosts.sweep(limit);
    }
}
