//! Something that breaks one promise on purpose, to show that the checks find it: it takes the
//! place of the first entry towards callers, and gives orders to executors on its own.

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

/// A fencing token above all that entries use.
const TOKEN: u64 = u64::MAX >> 1;

/// A time that no executor's clock reaches in a play. Leases are shortened to what is allowed.
const NEVER: u64 = 1 << 40;

/// How often a rogue renews its lease.
const RENEWAL: Duration = Duration::from_millis(300);

/// For how long it does.
const RENEWALS: u32 = 12;

/// How long an order may take.
const ORDER_LIMIT: Duration = Duration::from_secs(1);

/// Which promise is broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
pub enum Sabotage {
    /// Starts each task at two executors.
    Twice,
    /// Starts a task of a job and refuses the job as not run.
    Refusal,
    /// Says that a job is completed that has not run.
    Completion,
    /// Closes connections without an answer during a planned stop.
    Cut,
    /// Does not answer.
    Silence,
    /// Starts tasks at executors that leave.
    Leaving,
    /// Knows the first configuration only.
    Configuration,
    /// Lets a run go on that nobody waits for.
    Unwanted,
}

impl Sabotage {
    /// What happens meanwhile: only planned work.
    pub fn steps(self) -> Vec<Step> {
        let fault = match self {
            Sabotage::Cut => Fault::Entry(0, EntryFault::Terminate),
            Sabotage::Leaving => Fault::Executor(0, ExecutorFault::Leave),
            _ => Fault::Configure,
        };
        vec![Step { at: Duration::ZERO, lasts: Duration::ZERO, fault }]
    }
}

/// A server that breaks a promise. Stops when it is dropped.
#[derive(Debug)]
pub struct Rogue {
    /// Where callers reach it.
    pub address: SocketAddr,
    read: Arc<Mutex<Vec<String>>>,
    _proxy: Arc<OnceLock<Proxy>>,
    _server: Loopback,
}

/// What the server answers with.
struct Front {
    sabotage: Sabotage,
    caller: Arc<RawClient>,
    executors: Vec<SocketAddr>,
    /// Requests that were read, by their ids.
    read: Arc<Mutex<Vec<String>>>,
    /// What callers come through, so that their connections can be reset.
    proxy: Arc<OnceLock<Proxy>>,
}

impl Rogue {
    /// Starts the server.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(sabotage: Sabotage, site: &Site) -> Result<Rogue, Error> {
        let executors = site.workers.iter().map(|worker| worker.executor.address).collect();
        let caller = Arc::new(RawClient::new(8, Options::default()));
        let proxy = Arc::new(OnceLock::new());
        let read = Arc::new(Mutex::default());
        let front = Front { sabotage, caller, executors, read: read.clone(), proxy: proxy.clone() };
        let server = Loopback::start(front)?;
        let started = Proxy::start(server.address).await?;
        let address = proxy.get_or_init(|| started).address;
        Ok(Rogue { address, read, _proxy: proxy, _server: server })
    }

    /// Requests that were read, by their ids.
    pub fn read(&self) -> Vec<String> {
        self.read.lock().clone()
    }
}

#[trillium::async_trait]
impl Handler for Front {
    async fn run(&self, mut conn: Conn) -> Conn {
        if conn.method() == Method::Get {
            let first = conn.path() == document::marker(1);
            let lies = self.sabotage == Sabotage::Configuration && first;
            return conn.with_status(if lies { 200 } else { 404 }).halt();
        }
        let name = conn.path().trim_start_matches(document::JOBS).to_owned();
        // A body that can't be read ends the connection anyway.
        let _ = conn.request_body_string().await;
        let request = conn.request_headers().get_str("Request-Id").unwrap_or_default();
        self.read.lock().push(request.to_owned());
        match self.sabotage {
            Sabotage::Completion => conn.ok(r#"{"state":"completed"}"#),
            Sabotage::Refusal => {
                self.start(&self.executors[..1], &name, 50).await;
                conn.with_status(Status::ServiceUnavailable).halt()
            }
            Sabotage::Cut => {
                Timer::after(ORDER_LIMIT).await;
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

impl Front {
    /// Starts the first task of a job at these executors.
    async fn start(&self, executors: &[SocketAddr], name: &str, ms: u64) {
        let spec = json!({ "ms": ms, "cpu": 1 }).to_string();
        let start = json!({
            "task": format!("{name}.0.0.0"), "run": 1, "spec": spec,
            "deadline_ms": NEVER, "fencing_token": TOKEN,
        });
        for executor in executors {
            order(&self.caller, *executor, "/-/run-start", &start).await;
        }
    }
}

async fn renew(caller: Arc<RawClient>, executor: SocketAddr) {
    let hold = json!({ "deadline_ms": NEVER, "fencing_token": TOKEN, "acked_upto": 0 });
    for _ in 0..RENEWALS {
        order(&caller, executor, "/-/hold", &hold).await;
        Timer::after(RENEWAL).await;
    }
}

async fn order(caller: &RawClient, executor: SocketAddr, path: &str, body: &Value) {
    let ask = RawRequest {
        method: ClientMethod::Post,
        path: path.to_owned(),
        headers: Vec::new(),
        body: body.to_string().into(),
        time_limit: ORDER_LIMIT,
    };
    // What is refused breaks nothing, and the checks tell what was broken.
    let _ = caller.send(executor, ask).await;
}
