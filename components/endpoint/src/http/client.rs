//! The transport for calls to endpoints over HTTP/1.1.

use crate::{
    Call, Probe, Reply, Report, Stop, Transport, Unsent, Usage,
    classify::{self, Failure},
    http::{
        Meter, Options, Request, Response,
        connection::Connection,
        host::{Host, Hosts},
        watch,
    },
    protocol::{self, Token},
};
use async_trait::async_trait;
use site::{
    id::{AttemptId, Incarnation},
    service::Place,
    unit::Span,
};
use smol::{Timer, future::FutureExt};
use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};
use trillium_client::{Method, Url};

/// Sends calls over HTTP/1.1.
#[derive(Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) incarnation: Incarnation,
    pub(crate) options: Options,
    hosts: Hosts,
}

impl Client {
    /// Returns a transport for the process `incarnation`. Idle connections are closed by a task on
    /// the global executor of `smol`.
    pub fn new(incarnation: Incarnation, options: Options) -> Client {
        let inner = Arc::new(Inner { incarnation, options, hosts: Hosts::default() });
        smol::spawn(sweep(Arc::downgrade(&inner), duration(options.idle_limit))).detach();
        Client { inner }
    }
}

#[async_trait]
impl Transport for Client {
    async fn call(&self, call: Call) -> Report {
        let meter = Arc::new(Meter::new());
        let (reply, leaving) = self.inner.call(&call, &meter).await;
        let elapsed = Span(meter.elapsed().as_micros() as u64);
        tracing::debug!(
            attempt = %call.attempt, task = %call.task, endpoint = %call.address, ?elapsed,
            "call ended: {}", reply.name(),
        );
        Report { attempt: call.attempt, reply, leaving, elapsed }
    }

    async fn stop(&self, address: SocketAddr, attempt: AttemptId) -> Stop {
        self.inner.stop(&self.inner.host(address), self.inner.token(attempt)).await
    }

    async fn probe(&self, address: SocketAddr) -> Probe {
        match self.inner.health(address, None).await {
            Ok(response) => Probe::Alive { leaving: response.leaving },
            Err(Failure::Unsent(why)) => Probe::Unreachable(why),
            Err(Failure::Lost(_) | Failure::Dead) => Probe::Silent,
        }
    }

    async fn usage(&self, address: SocketAddr) -> Option<Usage> {
        self.inner.usage(&self.inner.host(address)).await
    }
}

impl Inner {
    async fn call(&self, call: &Call, meter: &Arc<Meter>) -> (Reply, bool) {
        let host = self.host(call.address);
        let request = self.request(call);
        let exchange = self.exchange(&host, call, &request, meter);
        let watched = async {
            let verdict = watch::run(self, &host, call, meter).await;
            host.retire();
            (classify::silence(verdict), false)
        };
        let timeout = async {
            Timer::after(duration(call.time_limit)).await;
            (classify::timeout(meter), false)
        };
        exchange.or(watched).or(timeout).await
    }

    async fn exchange(
        &self,
        host: &Arc<Host>,
        call: &Call,
        request: &Request,
        meter: &Arc<Meter>,
    ) -> (Reply, bool) {
        match self.send(host, call, request, meter).await {
            Ok(response) => {
                let leaving = response.leaving;
                (classify::response(response), leaving)
            }
            Err(Failure::Dead) => {
                host.retire();
                let alive = self.health(host.address, None).await.is_ok();
                (classify::failure(Failure::Dead, alive), false)
            }
            Err(failure) => (classify::failure(failure, false), false),
        }
    }

    /// Sends the request over a pooled connection. Uses another one if the first was closed before
    /// any byte was sent.
    async fn send(
        &self,
        host: &Arc<Host>,
        call: &Call,
        request: &Request,
        meter: &Arc<Meter>,
    ) -> Result<Response, Failure> {
        let connections = call.connections;
        loop {
            let mut connection = host
                .acquire(connections, &self.options, || meter.set_connected())
                .await
                .map_err(Failure::Unsent)?;
            let is_new = connection.opened == connection.idle_since;
            match connection.exchange(request, meter).await {
                Ok(exchange) => {
                    classify::attempt(&exchange.response, self.token(call.attempt))?;
                    if exchange.reusable {
                        host.release(connection, connections);
                    }
                    return Ok(exchange.response);
                }
                Err(Failure::Unsent(Unsent::Closed)) if !is_new => {}
                Err(failure) => return Err(failure),
            }
        }
    }

    fn request(&self, call: &Call) -> Request {
        let token = self.token(call.attempt);
        let mut headers = vec![(protocol::TASK, call.task.to_string())];
        let (method, url) = match call.place {
            Place::Executors => {
                headers.push((protocol::ATTEMPT, token.to_string()));
                (Method::Post, url(call.address, [call.service.as_str()]))
            }
            Place::Workers => {
                headers.extend([
                    (protocol::SERVICE, call.service.to_string()),
                    (protocol::CORES, call.needs.cores.to_string()),
                    (protocol::MEMORY, call.needs.memory.to_string()),
                    (protocol::ACCELERATORS, call.needs.accelerators.to_string()),
                    (protocol::LEASE, self.options.lease.to_string()),
                ]);
                (Method::Put, task_url(call.address, token, None))
            }
        };
        Request {
            headers,
            content_type: call.content_type.clone(),
            body: call.body.clone(),
            body_limit: call.body_limit,
            ..Request::control(method, url)
        }
    }

    pub(crate) fn token(&self, attempt: AttemptId) -> Token {
        Token { incarnation: self.incarnation, attempt }
    }

    fn host(&self, address: SocketAddr) -> Arc<Host> {
        self.hosts.get(address)
    }

    /// Requests the endpoint's health and the state of an attempt over a new connection.
    pub(crate) async fn health(
        &self,
        address: SocketAddr,
        attempt: Option<Token>,
    ) -> Result<Response, Failure> {
        let meter = Arc::new(Meter::new());
        let mut request = Request::control(Method::Get, url(address, [protocol::HEALTH_PATH]));
        request.headers.extend(attempt.map(|token| (protocol::ATTEMPT, token.to_string())));
        let exchange = async {
            let mut connection =
                Connection::open(address, None, &self.options).await.map_err(Failure::Unsent)?;
            let exchange = connection.exchange(&request, &meter).await?;
            Ok(exchange.response)
        };
        exchange.or(control_timeout(&self.options)).await
    }
}

async fn sweep(client: Weak<Inner>, limit: Duration) {
    loop {
        Timer::after(limit / 2).await;
        let Some(client) = client.upgrade() else { return };
        client.hosts.sweep(limit);
    }
}

/// Returns an error after the timeout of control requests.
pub(crate) async fn control_timeout<T>(options: &Options) -> Result<T, Failure> {
    Timer::after(duration(options.control_timeout)).await;
    Err(Failure::Dead)
}

pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

/// Returns a URL whose path has these segments, percent-encoded.
pub(crate) fn url<'a>(address: SocketAddr, segments: impl IntoIterator<Item = &'a str>) -> Url {
    let mut url: Url = format!("http://{address}/").parse().expect("an address is a host");
    let mut path = url.path_segments_mut().expect("an http URL has a path");
    path.clear();
    path.extend(segments);
    drop(path);
    url
}

/// Returns the URL of a task on a worker, or of an action on that task.
pub(crate) fn task_url(address: SocketAddr, token: Token, action: Option<&str>) -> Url {
    let token = token.to_string();
    let segments = protocol::TASKS_PATH.split('/').chain([token.as_str()]).chain(action);
    url(address, segments)
}
