//! HTTP routes of the gateway and of the fault control (`/faults`).

use super::{
    State,
    fault::{Change, Report},
    message::{
        CompactRequest, DeleteRequest, ErrorBody, GrantRequest, LeaseRequest, LeaseResponse,
        PutRequest, PutResponse, RangeRequest, Streamed, TxnRequest, WatchRequest,
    },
    store::StoreError,
    watch::AbortedBody,
};
use derive_more::{Display, Error, From};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use smol::Timer;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use trillium::{Body, Conn, KnownHeaderName, Method, Status};

/// gRPC status codes.
const INVALID_ARGUMENT: u16 = 3;
const NOT_FOUND: u16 = 5;
const FAILED_PRECONDITION: u16 = 9;
const OUT_OF_RANGE: u16 = 11;
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// The reason why a call failed.
#[derive(Debug, Display, Error, From)]
enum CallError {
    /// The request body is malformed.
    Body(serde_json::Error),
    /// The store rejected the request.
    Store(StoreError),
}

/// A call of the published API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Range,
    Put,
    Delete,
    Txn,
    Compact,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl Call {
    fn parse(path: &str) -> Option<Call> {
        match path {
            "/v3/kv/range" => Some(Call::Range),
            "/v3/kv/put" => Some(Call::Put),
            "/v3/kv/deleterange" => Some(Call::Delete),
            "/v3/kv/txn" => Some(Call::Txn),
            "/v3/kv/compaction" => Some(Call::Compact),
            "/v3/lease/grant" => Some(Call::Grant),
            "/v3/lease/keepalive" => Some(Call::KeepAlive),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Some(Call::Revoke),
            "/v3/watch" => Some(Call::Watch),
            _ => None,
        }
    }

    fn kind(self) -> CallKind {
        match self {
            Call::Range => CallKind::Read,
            Call::Watch => CallKind::Watch,
            _ => CallKind::Write,
        }
    }

    /// Whether [`Faults::hold_changes`](super::Faults::hold_changes) applies to the call.
    fn modifies_keys(self) -> bool {
        matches!(self, Call::Put | Call::Delete | Call::Txn)
    }

    /// Whether [`Faults::lose_answers`](super::Faults::lose_answers) applies to the call.
    fn modifies_state(self) -> bool {
        !matches!(self, Call::Range | Call::KeepAlive | Call::Watch)
    }
}

/// Serves one request.
pub(super) async fn serve(conn: Conn, state: Arc<Mutex<State>>) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/faults") => report_faults(conn, &state),
        (Method::Post, "/faults") => change_faults(conn, &state).await,
        (Method::Post, path) => match Call::parse(path) {
            Some(call) => handle_call(conn, &state, call).await,
            None => conn.with_status(Status::NotFound).halt(),
        },
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn report_faults(conn: Conn, state: &Mutex<State>) -> Conn {
    let report = {
        let state = state.lock();
        Report { faults: state.faults.clone(), calls: state.calls }
    };
    json(conn, Status::Ok, &report)
}

async fn change_faults(mut conn: Conn, state: &Mutex<State>) -> Conn {
    let body = conn.request_body_string().await.unwrap_or_default();
    match serde_json::from_str::<Change>(&body) {
        Err(error) => conn.with_status(Status::BadRequest).with_body(error.to_string()).halt(),
        Ok(change) => {
            state.lock().change_faults(change);
            report_faults(conn, state)
        }
    }
}

async fn handle_call(mut conn: Conn, state: &Mutex<State>, call: Call) -> Conn {
    let (down, slow) = state.lock().count_call(call.kind());
    if down {
        return abort(conn);
    }
    let body = conn.request_body().await.with_max_len(MAX_BODY_BYTES).read_bytes().await;
    let Ok(body) = body else { return abort(conn) };
    if slow > 0 {
        Timer::after(Duration::from_millis(slow)).await;
    }
    if call.modifies_keys() && state.lock().consume_held_change() {
        state.lock().held.push(HeldChange { call, body });
        return abort(conn);
    }
    let result = apply(&mut state.lock(), call, &body);
    if call.modifies_state() && result.is_ok() && state.lock().consume_lost_answer() {
        return abort(conn);
    }
    match result {
        Ok(body) => conn
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .with_status(Status::Ok)
            .with_body(body)
            .halt(),
        Err(error) => error_response(conn, error),
    }
}

/// A change that is held back by a fault and hasn't taken effect.
#[derive(Debug)]
pub(super) struct HeldChange {
    call: Call,
    body: Vec<u8>,
}

impl HeldChange {
    /// Applies the change. Its response is discarded, since the connection is closed.
    pub(super) fn release(self, state: &mut State) {
        let _ = apply(state, self.call, &self.body);
    }
}

/// The counter that a call belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallKind {
    /// Reads keys.
    Read,
    /// Changes keys or leases, or keeps a lease alive.
    Write,
    /// Opens a watch.
    Watch,
}

fn apply(state: &mut State, call: Call, body: &[u8]) -> Result<Body, CallError> {
    let now = Instant::now();
    state.expire(now);
    let store = &mut state.store;
    let body = match call {
        Call::Range => encode(&store.range(decode::<RangeRequest>(body)?)),
        Call::Put => encode(&store.put(decode::<PutRequest>(body)?)?),
        Call::Delete => encode(&store.delete(decode::<DeleteRequest>(body)?)),
        Call::Txn => encode(&store.txn(decode::<TxnRequest>(body)?)?),
        Call::Compact => {
            store.compact(decode::<CompactRequest>(body)?.revision.0)?;
            encode(&PutResponse { header: store.header() })
        }
        Call::Grant => {
            let GrantRequest { ttl, mut id } = decode(body)?;
            id.0 = store.leases.grant(id.0, ttl.0, now)?;
            encode(&LeaseResponse { header: store.header(), id, ttl })
        }
        Call::KeepAlive => {
            let LeaseRequest { id } = decode(body)?;
            let mut result = LeaseResponse { header: store.header(), id, ttl: id };
            result.ttl.0 = store.leases.keep_alive(id.0, now);
            encode(&Streamed { result })
        }
        Call::Revoke => {
            store.revoke(decode::<LeaseRequest>(body)?.id.0)?;
            encode(&PutResponse { header: store.header() })
        }
        Call::Watch => {
            let request = decode::<WatchRequest>(body)?.create_request;
            return Ok(Body::new_streaming(state.watches.open(&state.store, request), None));
        }
    };
    state.publish();
    Ok(body)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(body)
}

fn encode<T: Serialize>(value: &T) -> Body {
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn json<T: Serialize>(conn: Conn, status: Status, value: &T) -> Conn {
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(encode(value))
        .halt()
}

fn abort(conn: Conn) -> Conn {
    conn.with_status(Status::Ok).with_body(Body::new_streaming(AbortedBody, Some(1))).halt()
}

fn error_response(conn: Conn, error: CallError) -> Conn {
    let (status, code, error) = match error {
        CallError::Body(error) => (Status::BadRequest, INVALID_ARGUMENT, error.to_string()),
        CallError::Store(error) => {
            let (status, code) = status(error);
            (status, code, error.to_string())
        }
    };
    json(conn, status, &ErrorBody { error, code })
}

fn status(error: StoreError) -> (Status, u16) {
    match error {
        StoreError::EmptyKey
        | StoreError::TooLarge
        | StoreError::TooManyOps
        | StoreError::DuplicateKey => (Status::BadRequest, INVALID_ARGUMENT),
        StoreError::LeaseNotFound => (Status::NotFound, NOT_FOUND),
        StoreError::LeaseExists => (Status::BadRequest, FAILED_PRECONDITION),
        StoreError::Compacted => (Status::BadRequest, OUT_OF_RANGE),
    }
}
