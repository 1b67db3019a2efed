//! A single HTTP exchange with one entry.

use crate::Problem;
use compact_str::CompactString;
use site::id::Token;
use smol::{Timer, future};
use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};
use trillium_client::{Client, Conn, KnownHeaderName, Method};
use trillium_smol::ClientConfig;

const HOME: &str = "primrosestep-home";
const OUTCOME: &str = "primrosestep-outcome";

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: u64 = 256 << 20;

/// A request to an entry.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers except the `Authorization` header.
    pub headers: Vec<(&'static str, String)>,
    /// Request body; empty for none.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a request without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Call {
        Call { method, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }
}

/// Result of a call.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// Nothing was sent, since the entry refused the connection.
    NotSent,
    /// The request may have been sent, but no complete response arrived in time.
    Lost,
    /// A complete response.
    Answer(Answer),
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status of the response.
    pub status: u16,
    /// State of the submission according to the response.
    pub state: SubmissionState,
    /// Current home token of the entry; `None` if the response has none.
    pub token: Option<Token>,
    /// Media type of the body.
    pub content_type: CompactString,
    /// Response body.
    pub body: Vec<u8>,
}

/// State of a submission according to a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmissionState {
    /// The response is not about a submission, or was sent by an intermediary such as a proxy.
    None,
    /// The submission is complete.
    Complete,
    /// The submission has no answer yet.
    Pending,
    /// The submission has failed, or the request was rejected.
    Problem(Problem),
}

/// Connections to entries.
#[derive(Debug)]
pub(crate) struct Connections {
    key: CompactString,
    /// Reuses connections.
    reused: Client,
    /// Opens a connection for each call, since a fault of one reused connection may affect the
    /// others.
    fresh: Client,
}

impl Connections {
    pub(crate) fn new(key: CompactString) -> Connections {
        let config = ClientConfig::new().with_nodelay(true);
        Connections {
            key,
            reused: Client::new(config).with_default_pool(),
            fresh: Client::new(config),
        }
    }

    /// Makes a call, over a new connection if `fresh`, and waits up to `limit` for the response.
    pub(crate) async fn call(
        &self,
        entry: SocketAddr,
        call: Call,
        fresh: bool,
        limit: Duration,
    ) -> CallResult {
        let client = if fresh { &self.fresh } else { &self.reused };
        let expired = async {
            Timer::after(limit).await;
            CallResult::Lost
        };
        future::or(self.exchange(client, entry, call), expired).await
    }

    async fn exchange(&self, client: &Client, entry: SocketAddr, call: Call) -> CallResult {
        let mut conn = client
            .build_conn(call.method, format!("http://{entry}{}", call.path))
            .with_request_header(KnownHeaderName::Authorization, format!("Bearer {}", self.key))
            .with_body(call.body);
        for (name, value) in call.headers {
            conn.request_headers_mut().insert(name, value);
        }
        if let Err(error) = (&mut conn).await {
            return unanswered(&error);
        }
        let body = conn.response_body().with_max_len(MAX_BODY_BYTES).read_bytes().await;
        body.map_or(CallResult::Lost, |body| answer(&conn, body))
    }
}

fn unanswered(error: &trillium_client::Error) -> CallResult {
    match error {
        trillium_client::Error::Io(error) if not_sent(error) => CallResult::NotSent,
        _ => CallResult::Lost,
    }
}

/// Only a refused connection proves that nothing was sent.
fn not_sent(error: &io::Error) -> bool {
    error.kind() == ErrorKind::ConnectionRefused
}

fn answer(conn: &Conn, body: Vec<u8>) -> CallResult {
    let headers = conn.response_headers();
    let Some(status) = conn.status() else {
        return CallResult::Lost;
    };
    let state = match headers.get_str(OUTCOME) {
        None => SubmissionState::None,
        Some("complete") => SubmissionState::Complete,
        Some("pending") => SubmissionState::Pending,
        Some(_) => {
            serde_json::from_slice(&body).map_or(SubmissionState::None, SubmissionState::Problem)
        }
    };
    CallResult::Answer(Answer {
        status: status as u16,
        state,
        token: headers.get_str(HOME).and_then(|text| text.parse().ok()),
        content_type: headers.get_str(KnownHeaderName::ContentType).unwrap_or_default().into(),
        body,
    })
}
