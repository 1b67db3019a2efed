//! The site of a play: entries behind proxies, and stand-ins for the store and the executors.

use crate::{
    Error,
    document::{self, SERVICE},
    entry::{Entry, Setup},
    plan::{Fleet, Size},
    proxy::Proxy,
    relay::Relay,
    worker::Worker,
};
use endpoint::http::{Options, RawClient, RawRequest};
use serde_json::Value;
use smol::{Timer, lock::Mutex};
use standin::{kv::Store, leased::RunMonitor};
use std::{
    collections::HashSet,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};
use trillium_client::Method;

/// Longest wait until all entries are ready. Not a guarantee of the entries: a busy host starts
/// them slowly.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of a readiness request.
const READY_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// How often readiness is requested.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Data centres that entries and executors are spread over.
const DATA_CENTRES: [&str; 2] = ["a", "b"];

/// Number of the next play in this process; makes the folder names unique.
static NEXT_PLAY: AtomicU64 = AtomicU64::new(0);

/// An entry and the proxies around it.
#[derive(Debug)]
pub struct Node {
    /// The process; a fault locks it.
    pub entry: Mutex<Entry>,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Proxy between callers and the entry.
    pub callers: Proxy,
    /// Relay between its peers and the entry.
    pub peers: Relay,
    /// Proxy between the entry and the store.
    pub store: Proxy,
}

/// All processes and stand-ins of a play.
#[derive(Debug)]
pub struct Site {
    /// Stand-in of the store.
    pub store: Store,
    /// Executors by index.
    pub workers: Vec<Worker>,
    /// Entries by index.
    pub nodes: Vec<Node>,
    /// Runs that the executors have started, shared to detect concurrent runs of a task.
    pub monitor: Arc<RunMonitor>,
    /// The origin of the executors' clocks.
    pub begun: Instant,
    folder: PathBuf,
}

impl Site {
    /// Starts a site and waits until all of it is ready.
    ///
    /// # Errors
    ///
    /// When a file, a port or the program can't be used, or an entry is not ready in time.
    pub async fn start(program: &Path, size: &Size, fleet: Fleet) -> Result<Site, Error> {
        let begun = Instant::now();
        let number = NEXT_PLAY.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("soak-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        let monitor = Arc::new(RunMonitor::default());
        let mut workers = Vec::new();
        for index in 0..size.executors {
            workers.push(Worker::start(index, fleet, begun, &monitor).await?);
        }
        let mut nodes = Vec::new();
        for index in 0..size.entries {
            nodes.push(Node::start(program, &folder, index, store.address).await?);
        }
        let site = Site { store, workers, nodes, monitor, begun, folder };
        (0..size.executors).for_each(|index| site.register(index, false));
        site.store.put("op/config", &document::config(1, document::CALLER_TIMEOUT_MS));
        site.wait_ready().await?;
        Ok(site)
    }

    /// Writes an executor's registration to the store, as the executor does.
    pub fn register(&self, index: usize, leaves: bool) {
        let worker = &self.workers[index];
        let (executor, address) = (worker.executor(), worker.orders.address);
        let data_centre = data_centre(index);
        let entry = executor.registration_at(address, SERVICE, data_centre, leaves, 1);
        self.store.put(&registration_key(&executor.name), &entry);
    }

    /// Removes the registration of an executor's incarnation from the store, as the platform does.
    pub fn unregister(&self, name: &str) {
        self.store.delete(&registration_key(name));
    }

    /// Kills all entries. This is explicit because tasks may hold references to the site after its
    /// play.
    ///
    /// # Errors
    ///
    /// When a process can't be ended.
    pub async fn kill_entries(&self) -> Result<(), Error> {
        for node in &self.nodes {
            node.entry.lock().await.kill()?;
        }
        Ok(())
    }

    /// Returns the ids of the requests that each entry has read, from its log.
    ///
    /// # Errors
    ///
    /// When a log can't be read.
    pub async fn read_requests(&self) -> Result<Vec<HashSet<String>>, Error> {
        let mut read = Vec::new();
        for node in &self.nodes {
            let log = node.entry.lock().await.log()?;
            read.push(log.lines().filter_map(admitted).collect());
        }
        Ok(read)
    }

    /// Returns the folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Removes the folder with settings and logs.
    ///
    /// # Errors
    ///
    /// When a file can't be removed.
    pub fn remove_logs(&self) -> Result<(), Error> {
        Ok(fs::remove_dir_all(&self.folder)?)
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let caller = RawClient::new(1, Options::default());
        let until = Instant::now() + READY_TIMEOUT;
        for node in &self.nodes {
            while !is_ready(&caller, node.readiness).await {
                if Instant::now() > until {
                    return Err(Error::NotReady { folder: self.folder.clone() });
                }
                Timer::after(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

impl Node {
    async fn start(
        program: &Path,
        folder: &Path,
        index: usize,
        store: SocketAddr,
    ) -> Result<Node, Error> {
        let store = Proxy::start(store).await?;
        let name = format!("entry-{index}");
        let mut setup = Setup::new(&name, data_centre(index), store.address)?;
        let callers = Proxy::start(setup.callers).await?;
        let peers = Relay::start(setup.peers).await?;
        setup.reached_at = Some(peers.address);
        let readiness = setup.readiness;
        let entry = Mutex::new(Entry::start(program, folder, setup)?);
        Ok(Node { entry, readiness, callers, peers, store })
    }
}

/// Returns the id of the request that a log line reports as admitted.
fn admitted(line: &str) -> Option<String> {
    // Lines of other libraries may not be JSON.
    let line: Value = serde_json::from_str(line).ok()?;
    (line["decision"] == "admit").then(|| line["request"].as_str().map(str::to_owned))?
}

fn registration_key(name: &str) -> String {
    format!("servers/{name}")
}

/// Returns the data centre of an entry or an executor.
pub fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

async fn is_ready(caller: &RawClient, address: SocketAddr) -> bool {
    let request = RawRequest {
        method: Method::Get,
        path: "/-/readiness".to_owned(),
        headers: Vec::new(),
        body: Vec::new().into(),
        time_limit: READY_RESPONSE_TIMEOUT,
    };
    caller.send(address, request).await.is_ok_and(|reply| reply.status == 200)
}
