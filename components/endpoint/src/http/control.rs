//! Control requests to workers: lease renewals, stops and usage. All control requests to one worker
//! share one connection outside the pool, since all connections of the pool may be in use for
//! longer than a lease lasts.

use crate::{
    Stop, Usage,
    classify::Failure,
    http::{
        Meter, Request, Response,
        client::{Inner, control_timeout, task_url, url},
        connection::Connection,
        host::Host,
    },
    protocol::{self, Token, state},
};
use serde::Deserialize;
use smol::future::FutureExt;
use std::sync::Arc;
use trillium_client::Method;

/// State of an attempt, as an endpoint reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// The endpoint has not received the attempt.
    Unknown,
    /// The attempt runs.
    Running,
    /// The attempt has ended.
    Ended,
    /// The attempt will never start.
    Never,
}

impl State {
    pub(crate) fn parse(text: &str) -> Option<State> {
        match text {
            state::UNKNOWN => Some(State::Unknown),
            state::RUNNING => Some(State::Running),
            state::ENDED => Some(State::Ended),
            state::NEVER => Some(State::Never),
            _ => None,
        }
    }
}

/// Body of a worker's response about an attempt.
#[derive(Deserialize)]
struct Status {
    state: String,
}

impl Inner {
    /// Renews the lease of an attempt. Returns `None` if the worker does not respond.
    pub(crate) async fn renew(&self, host: &Host, token: Token) -> Option<State> {
        let url = task_url(host.address, token, Some("renew"));
        let mut request = Request::control(Method::Post, url);
        request.headers.push((protocol::LEASE, self.options.lease.to_string()));
        let response = self.control(host, &request).await.ok()?;
        status(&response)
    }

    pub(crate) async fn stop(&self, host: &Host, token: Token) -> Stop {
        let request = Request::control(Method::Delete, task_url(host.address, token, None));
        let response = self.control(host, &request).await.ok();
        match response.as_ref().and_then(status) {
            Some(State::Never) => Stop::NeverRuns,
            Some(State::Running) => Stop::Stopped,
            Some(State::Ended) => Stop::Ended,
            Some(State::Unknown) | None => Stop::Unknown,
        }
    }

    pub(crate) async fn usage(&self, host: &Host) -> Option<Usage> {
        let url = url(host.address, protocol::USAGE_PATH.split('/'));
        let response = self.control(host, &Request::control(Method::Get, url)).await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Sends a control request. All control requests are idempotent and may be repeated.
    async fn control(&self, host: &Host, request: &Request) -> Result<Response, Failure> {
        let attempt = async {
            let mut slot = host.control.lock().await;
            let mut connection = match slot.take() {
                Some(connection) if !connection.is_stale() => connection,
                _ => Connection::open(host.address, None, &self.options)
                    .await
                    .map_err(Failure::Unsent)?,
            };
            let exchange = connection.exchange(request, &Arc::new(Meter::new())).await?;
            if exchange.reusable {
                *slot = Some(connection);
            }
            Ok(exchange.response)
        };
        attempt.or(control_timeout(&self.options)).await
    }
}

fn status(response: &Response) -> Option<State> {
    let status: Status = serde_json::from_slice(&response.body).ok()?;
    State::parse(&status.state)
}
