//! The site of a play: entries behind proxies, stand-ins for all else.

use crate::{
    Error,
    document::{self, SERVICE},
    entry::{Entry, Setup},
    plan::Size,
    proxy::Proxy,
    relay::Relay,
};
use endpoint::http::{Options, RawClient, RawRequest};
use serde_json::Value;
use smol::{Timer, lock::Mutex};
use standin::{
    kv::Store,
    leased::{Executor, RunMonitor},
};
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

/// Longest wait until all entries are ready. No promise: a busy machine starts them slowly.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// How long an entry may take to say whether it is.
const READY_ANSWER: Duration = Duration::from_secs(2);

/// How often that is asked.
const READY_POLL: Duration = Duration::from_millis(20);

/// Data centres that entries and executors are spread over.
const DATA_CENTRES: [&str; 2] = ["a", "b"];

/// Tells the folders of plays in one process apart.
static PLAYS: AtomicU64 = AtomicU64::new(0);

/// An entry and what stands around it.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub entry: Mutex<Entry>,
    /// Where its readiness is asked for.
    pub readiness: SocketAddr,
    /// Between callers and the entry.
    pub callers: Proxy,
    /// Between its peers and the entry.
    pub peers: Relay,
    /// Between the entry and the store.
    pub store: Proxy,
}

/// An executor and what stands in front of it.
#[derive(Debug)]
pub struct Worker {
    /// The stand-in.
    pub executor: Executor,
    /// Between entries and the executor.
    pub orders: Proxy,
}

/// Everything of a play.
#[derive(Debug)]
pub struct Site {
    /// The store.
    pub store: Store,
    /// The executors.
    pub workers: Vec<Worker>,
    /// The entries.
    pub nodes: Vec<Node>,
    /// What the executors have begun.
    pub monitor: Arc<RunMonitor>,
    /// The time from which executors count.
    pub begun: Instant,
    folder: PathBuf,
}

impl Site {
    /// Starts a site and waits until all of it is ready.
    ///
    /// # Errors
    ///
    /// When a file, a port or the program can't be used, or an entry does not get ready.
    pub async fn start(program: &Path, size: &Size) -> Result<Site, Error> {
        let begun = Instant::now();
        let number = PLAYS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("soak-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        let monitor = Arc::new(RunMonitor::default());
        let mut workers = Vec::new();
        for index in 0..size.executors {
            workers.push(Worker::start(index, begun, &monitor).await?);
        }
        let mut nodes = Vec::new();
        for index in 0..size.entries {
            nodes.push(Node::start(program, &folder, index, store.address).await?);
        }
        let site = Site { store, workers, nodes, monitor, begun, folder };
        (0..size.executors).for_each(|index| site.register(index, false));
        site.store.put("op/config", &document::config(1, document::PATIENCE_MS));
        site.wait_ready().await?;
        Ok(site)
    }

    /// Writes an executor's entry, as the executor does.
    pub fn register(&self, index: usize, leaves: bool) {
        let Worker { executor, orders } = &self.workers[index];
        let data_centre = data_centre(index);
        let entry = executor.registration_at(orders.address, SERVICE, data_centre, leaves, 1);
        self.store.put(&format!("servers/{}", executor.name), &entry);
    }

    /// Ends all entries. Whatever still refers to the site may outlive its play.
    ///
    /// # Errors
    ///
    /// When a process can't be ended.
    pub async fn end(&self) -> Result<(), Error> {
        for node in &self.nodes {
            node.entry.lock().await.kill()?;
        }
        Ok(())
    }

    /// Requests that each entry has read, by their ids, as its log says.
    ///
    /// # Errors
    ///
    /// When a log can't be read.
    pub async fn read(&self) -> Result<Vec<HashSet<String>>, Error> {
        let mut read = Vec::new();
        for node in &self.nodes {
            let log = node.entry.lock().await.log()?;
            read.push(log.lines().filter_map(admitted).collect());
        }
        Ok(read)
    }

    /// Where the logs are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Removes the logs.
    ///
    /// # Errors
    ///
    /// When a file can't be removed.
    pub fn clear(&self) -> Result<(), Error> {
        Ok(fs::remove_dir_all(&self.folder)?)
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let caller = RawClient::new(1, Options::default());
        let until = Instant::now() + READY_LIMIT;
        for node in &self.nodes {
            while !is_ready(&caller, node.readiness).await {
                if Instant::now() > until {
                    return Err(Error::NotReady { folder: self.folder.clone() });
                }
                Timer::after(READY_POLL).await;
            }
        }
        Ok(())
    }
}

impl Worker {
    async fn start(
        index: usize,
        begun: Instant,
        monitor: &Arc<RunMonitor>,
    ) -> Result<Worker, Error> {
        let executor = Executor::start(&format!("i-{index}"), begun, monitor)?;
        let orders = Proxy::start(executor.address).await?;
        Ok(Worker { executor, orders })
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

/// The request that a line of a log says was taken in.
fn admitted(line: &str) -> Option<String> {
    // Lines of other libraries need not be JSON.
    let line: Value = serde_json::from_str(line).ok()?;
    (line["decision"] == "admit").then(|| line["request"].as_str().map(str::to_owned))?
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}

async fn is_ready(caller: &RawClient, address: SocketAddr) -> bool {
    let ask = RawRequest {
        method: Method::Get,
        path: "/-/readiness".to_owned(),
        headers: Vec::new(),
        body: Vec::new().into(),
        time_limit: READY_ANSWER,
    };
    caller.send(address, ask).await.is_ok_and(|reply| reply.status == 200)
}
