//! The control API of a stand-in: `GET /ledger`, `GET /faults` and `POST /faults`.

use crate::{
    fault::Faults,
    serve::{EndpointState, Listener},
};
use parking_lot::Mutex;
use std::{
    sync::{Arc, Weak},
    time::Duration,
};
use trillium::{Conn, KnownHeaderName, Method, Status};

/// Serves the control API of one stand-in.
#[derive(Clone)]
pub(crate) struct Control {
    endpoint: Arc<EndpointState>,
    /// Empty until the stand-in listens.
    listener: Arc<Mutex<Weak<Listener>>>,
}

impl Control {
    pub(crate) fn new(endpoint: Arc<EndpointState>) -> Control {
        Control { endpoint, listener: Arc::default() }
    }

    pub(crate) fn set_listener(&self, listener: &Arc<Listener>) {
        *self.listener.lock() = Arc::downgrade(listener);
    }

    /// Whether a request belongs to the control API.
    pub(crate) fn is_control_request(conn: &Conn) -> bool {
        matches!(conn.path(), "/ledger" | "/faults")
    }

    pub(crate) async fn serve(&self, mut conn: Conn) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Get, "/ledger") => json(conn, &self.endpoint.ledger.records()),
            (Method::Get, "/faults") => json(conn, &self.endpoint.faults()),
            (Method::Post, "/faults") => {
                let body = conn.request_body_string().await.unwrap_or_default();
                match serde_json::from_str(&body) {
                    Ok(faults) => {
                        self.set(faults);
                        json(conn, &faults)
                    }
                    Err(error) => conn
                        .with_status(Status::BadRequest)
                        .with_body(format!("body: {error}"))
                        .halt(),
                }
            }
            _ => conn.with_status(Status::MethodNotAllowed).halt(),
        }
    }

    /// Replaces all faults. If `dead_for` is set, the endpoint is killed and restarted in the
    /// background.
    pub(crate) fn set(&self, faults: Faults) {
        self.endpoint.set_faults(faults);
        let listener = self.listener.lock().upgrade();
        if let (Some(millis), Some(listener)) = (faults.dead_for, listener) {
            smol::spawn(kill_for(listener, Duration::from_millis(millis))).detach();
        }
    }
}

async fn kill_for(listener: Arc<Listener>, pause: Duration) {
    listener.kill().await;
    if pause.is_zero() {
        return;
    }
    smol::Timer::after(pause).await;
    if let Err(error) = listener.restart() {
        tracing::error!("can't listen again on {}: {error}", listener.address);
    }
}

fn json(conn: Conn, value: &impl serde::Serialize) -> Conn {
    let text = serde_json::to_string(value).expect("records and faults have only text keys");
    conn.with_response_header(KnownHeaderName::ContentType, "application/json").ok(text)
}
