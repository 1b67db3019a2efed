//! A server that violates one guarantee on purpose, to show that the checks find it. It replaces
//! the first entry towards callers, and sends orders to executors itself.

use crate::{
    Error, document,
    plan::{EntryFault, ExecutorFault, Fault, Step},
    proxy::Proxy,
    site::Site,
};
use endpoint::http::{Options, RawClient, RawRequest};
use parking_lot::Mutex;
use serde_json::{Value, json};
use smol::Timer;
use standin::Loopback;
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};
use trillium::{Conn, Handler, Method, Status};
use trillium_client::Method as ClientMethod;

/// Fencing token above all that entries use.
const HIGH_FENCING_TOKEN: u64 = u64::MAX >> 1;

/// Deadline that no executor's clock reaches in a play. Executors shorten leases to the longest
/// that they allow.
const FAR_DEADLINE_MS: u64 = 1 << 40;

/// How often the server renews its lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// How many times it renews its lease.
const RENEWAL_COUNT: u32 = 12;

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// The guarantee that is violated.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
pub enum Sabotage {
    /// Starts each task at two executors.
    Twice,
    /// Starts a task of a job and refuses the job as not run.
    Refusal,
    /// Answers a job that has not run as completed.
    Completion,
    /// Answers a job that has not run as failed.
    Failure,
    /// Closes connections without an answer during a planned stop.
    Cut,
    /// Never answers.
    Silence,
    /// Starts tasks at executors that are leaving.
    Leaving,
    /// Keeps the first configuration.
    Configuration,
    /// Continues a run that no caller waits for.
    Unwanted,
}

impl Sabotage {
    /// Returns the faults during the play: planned ones only, since unplanned ones would excuse
    /// violations.
    pub fn steps(self) -> Vec<Step> {
        let fault = match self {
            Sabotage::Cut => Fault::Entry(0, EntryFault::Terminate),
            Sabotage::Leaving => Fault::Executor(0, ExecutorFault::Leave),
            _ => Fault::Configure,
        };
        vec![Step { at: Duration::ZERO, duration: Duration::ZERO, fault }]
    }
}

/// A server that violates a guarantee. Stops when it is dropped.
#[derive(Debug)]
pub struct FaultyServer {
    /// Address for callers.
    pub address: SocketAddr,
    read: Arc<Mutex<Vec<String>>>,
    _proxy: Arc<OnceLock<Proxy>>,
    _server: Loopback,
}

/// Handler of the server.
struct FaultyHandler {
    sabotage: Sabotage,
    caller: Arc<RawClient>,
    executors: Vec<SocketAddr>,
    /// Ids of the requests that were read.
    read: Arc<Mutex<Vec<String>>>,
    /// Proxy in front of the server, so that callers' connections can be reset.
    proxy: Arc<OnceLock<Proxy>>,
}

impl FaultyServer {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(sabotage: Sabotage, site: &Site) -> Result<FaultyServer, Error> {
        let executors = site.workers.iter().map(|worker| worker.executor().address).collect();
        let caller = Arc::new(RawClient::new(8, Options::default()));
        let proxy = Arc::new(OnceLock::new());
        let read = Arc::new(Mutex::default());
        let handler =
            FaultyHandler { sabotage, caller, executors, read: read.clone(), proxy: proxy.clone() };
        let server = Loopback::start(handler)?;
        let started = Proxy::start(server.address).await?;
        let address = proxy.get_or_init(|| started).address;
        Ok(FaultyServer { address, read, _proxy: proxy, _server: server })
    }

    /// Returns the ids of the requests that were read.
    pub fn read(&self) -> Vec<String> {
        self.read.lock().clone()
    }
}

#[trillium::async_trait]
impl Handler for FaultyHandler {
    async fn run(&self, mut conn: Conn) -> Conn {
        if conn.method() == Method::Get {
            let is_first = conn.path() == document::marker_path(1);
            let shows_first = self.sabotage == Sabotage::Configuration && is_first;
            return conn.with_status(if shows_first { 200 } else { 404 }).halt();
        }
        let name = conn.path().rsplit('/').next().unwrap_or_default().to_owned();
        // A body that can't be read ends the connection anyway.
        let _ = conn.request_body_string().await;
        let request = conn.request_headers().get_str("Request-Id").unwrap_or_default();
        self.read.lock().push(request.to_owned());
        match self.sabotage {
            Sabotage::Completion => conn.ok(r#"{"state":"completed"}"#),
            Sabotage::Failure => conn.ok(r#"{"state":"failed"}"#),
            Sabotage::Refusal => {
                self.start(&self.executors[..1], &name, 50).await;
                conn.with_status(Status::ServiceUnavailable).halt()
            }
            Sabotage::Cut => {
                Timer::after(ORDER_TIMEOUT).await;
                self.proxy.get().into_iter().for_each(Proxy::reset);
                smol::future::pending().await
            }
            Sabotage::Silence => smol::future::pending().await,
            Sabotage::Twice => {
                self.start(&self.executors[..2], &name, 200).await;
                conn.with_status(Status::GatewayTimeout).halt()
            }
            Sabotage::Leaving => {
                self.start(&self.executors[..1], &name, 20).await;
                conn.with_status(Status::GatewayTimeout).halt()
            }
            Sabotage::Unwanted => {
                self.start(&self.executors[..1], &name, 5_000).await;
                smol::spawn(renew(self.caller.clone(), self.executors[0])).detach();
                conn.with_status(Status::GatewayTimeout).halt()
            }
            Sabotage::Configuration => conn.with_status(Status::ServiceUnavailable).halt(),
        }
    }
}

impl FaultyHandler {
    /// Starts the first task of a job at each of `executors`.
    async fn start(&self, executors: &[SocketAddr], name: &str, ms: u64) {
        let spec = json!({ "ms": ms, "cpu": 1 }).to_string();
        let start = json!({
            "task": format!("{name}.0.0.0"), "run": 1, "spec": spec,
            "deadline_ms": FAR_DEADLINE_MS, "fencing_token": HIGH_FENCING_TOKEN,
        });
        for executor in executors {
            order(&self.caller, *executor, "/-/run-start", &start).await;
        }
    }
}

async fn renew(caller: Arc<RawClient>, executor: SocketAddr) {
    let hold = json!({ "deadline_ms": FAR_DEADLINE_MS, "fencing_token": HIGH_FENCING_TOKEN, "acked_upto": 0 });
    for _ in 0..RENEWAL_COUNT {
        order(&caller, executor, "/-/hold", &hold).await;
        Timer::after(RENEWAL_INTERVAL).await;
    }
}

async fn order(caller: &RawClient, executor: SocketAddr, path: &str, body: &Value) {
    let request = RawRequest {
        method: ClientMethod::Post,
        path: path.to_owned(),
        headers: Vec::new(),
        body: body.to_string().into(),
        time_limit: ORDER_TIMEOUT,
    };
    // A refused order violates nothing, and the checks report what was violated.
    let _ = caller.send(executor, request).await;
}
