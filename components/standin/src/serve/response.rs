//! Responses of endpoints, and the faults that delay, lose or corrupt them.

use crate::{
    fault::Silence,
    protocol,
    serve::{Attempt, EndpointState},
};
use serde_json::Value;
use smol::{
    future::{FutureExt, pending},
    io::AsyncWriteExt,
};
use std::net::{Shutdown, SocketAddr};
use trillium::{Conn, KnownHeaderName};
use trillium_smol::{
    Binding, SmolTransport,
    async_net::{TcpStream, unix::UnixStream},
};

/// Number of bytes of a JSON body that are sent when it is truncated.
const TRUNCATED_BODY_BYTES: usize = 2;

/// A connection of the server.
type Stream = Binding<SmolTransport<TcpStream>, SmolTransport<UnixStream>>;

/// A response before faults are applied.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Value,
    /// Whether the task has run. If so, the faults that concern responses apply.
    pub(crate) has_run: bool,
}

impl Response {
    pub(crate) fn new(status: u16, body: Value) -> Response {
        Response { status, headers: Vec::new(), body, has_run: false }
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl ToString) -> Response {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Reports that the task did not run and never will.
    pub(crate) fn refusal(reason: &str) -> Response {
        Response::new(503, Value::Null)
            .with(protocol::OUTCOME, "not-run")
            .with(protocol::REFUSAL, reason)
            .with(protocol::RETRY_AFTER, 1)
    }

    /// Reports that the attempt or the task was received before.
    pub(crate) fn repeated() -> Response {
        Response::new(409, Value::Null).with(protocol::OUTCOME, "repeated")
    }
}

/// Serves one request: reads its body, gets the response from `work`, and sends it with the active
/// faults applied. `work` is dropped if the endpoint is killed.
pub(crate) async fn serve<Work>(
    endpoint: &EndpointState,
    mut conn: Conn,
    work: impl FnOnce(Attempt, String) -> Work,
) -> Conn
where
    Work: Future<Output = Response>,
{
    let seen = endpoint.cuts();
    let Ok(Some(peer)) = conn.inner().transport().peer_addr() else { return conn };
    let responded = async {
        if endpoint.register_connection(peer) == Some(Silence::Requests) {
            pending::<()>().await;
        }
        let attempt = Attempt::of(&conn);
        let body = conn.request_body_string().await.ok()?;
        let response = work(attempt, body).await;
        deliver_or_hang(endpoint, peer).await;
        Some(response)
    };
    let cut = async {
        endpoint.until_cut(seen).await;
        None
    };
    match cut.or(responded).await {
        Some(response) => deliver(endpoint, conn, response).await,
        None => close(conn),
    }
}

async fn deliver_or_hang(endpoint: &EndpointState, peer: SocketAddr) {
    if endpoint.loses_answer(peer) {
        pending::<()>().await;
    }
}

async fn deliver(endpoint: &EndpointState, conn: Conn, response: Response) -> Conn {
    let faults = endpoint.faults();
    if response.has_run && faults.drop_after_write {
        return close(conn);
    }
    let text = response.body.to_string();
    if response.has_run && faults.truncate {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        return write_raw(conn, head + &text[..TRUNCATED_BODY_BYTES]).await;
    }
    if response.has_run && faults.malformed {
        return write_raw(conn, "what is this\r\n\r\n".to_owned()).await;
    }
    let mut conn = conn
        .with_status(response.status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(text);
    let headers = conn.response_headers_mut();
    headers.extend(response.headers);
    if faults.leaving {
        headers.insert(protocol::LEAVING, "1");
    }
    conn.halt()
}

/// Closes the connection of a request. Bytes written before are still delivered.
fn close(conn: Conn) -> Conn {
    if let Some(stream) = stream(&conn) {
        // The peer may have closed it first.
        let _ = stream.shutdown(Shutdown::Both);
    }
    conn.halt()
}

async fn write_raw(conn: Conn, text: String) -> Conn {
    if let Some(mut stream) = stream(&conn) {
        // The peer may have closed it first.
        let _ = stream.write_all(text.as_bytes()).await;
    }
    close(conn)
}

fn stream(conn: &Conn) -> Option<TcpStream> {
    let transport = conn.inner().transport();
    let binding = transport.downcast_ref::<Stream>()?;
    binding.get_tcp().map(|stream| stream.clone().into_inner())
}
