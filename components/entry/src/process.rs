//! Runs a whole entry: engine, HTTP API, connections to peers, and watches of the platform.

use crate::{
    Backend, Config, Dependencies, Engine, claims,
    failpoint::failpoint,
    metrics::Metrics,
    network::Network,
    registry::{self, Connector},
    spawn::spawn,
    usage,
};
use async_channel::Receiver;
use derive_more::{Display, Error, From};
use dispatch::entry::{DEFAULT_SLOTS_PER_LEAD, Options};
use endpoint::http;
use link::{Node, Traffic, tls::Identity};
use platform::{
    Store,
    gateway::{self, Client},
    registry::Entry,
};
use server::Server;
use settings::{Digest, Files, daemon::Daemon};
use site::{
    Site,
    id::{DataCentreId, EntryId, Home, Incarnation, RackId},
    unit::Revision,
};
use smol::{Timer, future::FutureExt};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use telemetry::{Log, MetricsError};

/// Maximum bytes of answers that are kept for callers that resubmit or fetch.
const ANSWER_CACHE_BYTES: usize = 64 << 20;

/// Maximum time that a stop waits until the entry is unregistered.
const UNREGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration of an entry.
#[derive(Debug)]
pub struct Setup {
    /// The daemon's settings.
    pub daemon: Daemon,
    /// TLS identity of the entry.
    pub identity: Identity,
    /// Digest of the entry's certificate.
    pub certificate: Digest,
    /// Initial settings files, replaced by any accepted ones; empty for none.
    pub files: Files,
    /// The log of decisions and diagnostics.
    pub log: Log,
}

/// Error that prevents an entry from starting.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The initial settings are invalid.
    #[display("{_0}")]
    Settings(settings::Report),
    /// The metrics exporter can't be created.
    #[display("{_0}")]
    Metrics(MetricsError),
    /// The address for other entries can't be bound.
    #[display("{_0}")]
    Link(link::Error),
    /// The address for callers can't be bound.
    #[display("{_0}")]
    Server(server::listen::BindError),
}

/// A running entry.
pub struct Process {
    engine: Arc<Engine>,
    server: Server,
    network: Arc<Network>,
    /// Closed once the entry is no longer registered.
    registered: Receiver<()>,
    drain_limit: Duration,
}

impl Process {
    /// Starts an entry. It becomes ready once it has settings.
    ///
    /// # Errors
    ///
    /// When its settings are invalid or its addresses can't be bound.
    pub async fn start(setup: Setup) -> Result<Process, StartError> {
        let daemon = setup.daemon;
        let home = home(&daemon);
        let (site, revision) = initial_site(&setup.files)?;
        let mut link = link::Options::new(home, daemon.quic, setup.identity);
        link.backlog = daemon.limits.waiters as usize;
        let (node, incoming) = Node::start(link)?;
        let network = Arc::new(Network::new(home, node));
        let dependencies = Dependencies {
            transport: Arc::new(http::Client::new(home.incarnation, http::Options::default())),
            peers: network.clone(),
            log: setup.log,
        };
        let options = options(&daemon, home, site, revision);
        let engine = Arc::new(Engine::new(options, dependencies, Metrics::new()?));
        network.bind(&engine);
        let store = Client::new(gateway::Options::new(daemon.platform.clone()));
        let store: Arc<dyn Store> = Arc::new(store);
        let config = Arc::new(Config::new(engine.clone(), store.clone(), setup.files));
        spawn(engine.clone().run_timer());
        spawn(network.clone().receive(incoming, engine.clone(), config.clone()));
        let seeds = daemon.seeds.iter().map(|(name, at)| (EntryId::of(name), *at));
        network.connect_seeds(seeds);
        let backend = Arc::new(Backend::new(engine.clone()));
        let server = Server::start(daemon.http, backend, server_options(&daemon)).await?;
        let entry = Entry {
            home,
            data_centre: daemon.data_centre.clone(),
            http: server.address(),
            quic: network.address(),
            certificate: setup.certificate,
        };
        spawn_tasks(&engine, &store, &network, config);
        let registered = register(&engine, &store, entry);
        tracing::info!(%home, http = %server.address(), quic = %network.address(), "started");
        let drain_limit = Duration::from_micros(daemon.limits.drain.0);
        Ok(Process { engine, server, network, registered, drain_limit })
    }

    /// Returns the engine, which runs the decision logic.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// Returns the address of the HTTP API for callers and operators.
    pub fn http(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the QUIC address for other entries.
    pub fn quic(&self) -> SocketAddr {
        self.network.address()
    }

    /// Returns the traffic exchanged with other entries since the start.
    pub fn traffic(&self) -> Traffic {
        self.network.traffic()
    }

    /// Waits until a planned stop has finished. Returns false if it exceeds the drain limit.
    pub async fn exited(&self) -> bool {
        let exited = async {
            self.engine.exited().await;
            true
        };
        exited.or(self.drain_timeout()).await
    }

    /// Closes the HTTP API and all connections, once requests in progress are answered.
    pub async fn close(self) {
        failpoint!("before-exit");
        self.server.stop().await;
        let left = async {
            let _ = self.registered.recv().await;
        };
        let late = async {
            Timer::after(UNREGISTER_TIMEOUT).await;
        };
        left.or(late).await;
        self.network.close().await;
    }

    /// Returns false once a planned stop has exceeded the drain limit.
    async fn drain_timeout(&self) -> bool {
        self.engine.drain_started().await;
        Timer::after(self.drain_limit).await;
        false
    }
}

/// Spawns the tasks that watch the platform or write to it.
fn spawn_tasks(
    engine: &Arc<Engine>,
    store: &Arc<dyn Store>,
    network: &Arc<Network>,
    config: Arc<Config>,
) {
    let connector: Arc<dyn Connector> = network.clone();
    spawn(registry::watch_entries(engine.clone(), store.clone(), connector));
    spawn(registry::watch_vms(engine.clone(), store.clone()));
    spawn(usage::run(engine.clone()));
    spawn(claims::run(engine.clone(), store.clone()));
    spawn(config.clone().run_apply());
    spawn(async move {
        config.fetch().await;
        config.run().await;
    });
}

/// Spawns the task that keeps the entry registered. The returned channel closes once it has
/// unregistered.
fn register(engine: &Arc<Engine>, store: &Arc<dyn Store>, entry: Entry) -> Receiver<()> {
    let (ended, registered) = async_channel::bounded(1);
    let keep = registry::keep(engine.clone(), store.clone(), entry);
    spawn(async move {
        keep.await;
        drop(ended);
    });
    registered
}

fn home(daemon: &Daemon) -> Home {
    Home {
        data_centre: DataCentreId::of(&daemon.data_centre),
        entry: EntryId::of(&daemon.name),
        incarnation: Incarnation(rand::random()),
    }
}

/// Parses the initial settings. Their revision is lower than every accepted one, so accepted
/// settings always replace them.
fn initial_site(files: &Files) -> Result<(Site, Revision), settings::Report> {
    match files.is_empty() {
        true => Ok((Site::default(), Revision(0))),
        false => Ok((settings::parse(files)?.site, Revision(0))),
    }
}

fn options(daemon: &Daemon, home: Home, site: Site, revision: Revision) -> Options {
    Options {
        home,
        rack: RackId::of(&daemon.rack),
        seed: home.incarnation.0,
        site: Arc::new(site),
        revision,
        membership: membership::Options::default(),
        answer_bytes: ANSWER_CACHE_BYTES,
        slots_per_lead: DEFAULT_SLOTS_PER_LEAD,
    }
}

fn server_options(daemon: &Daemon) -> server::Options {
    let limits = &daemon.limits;
    server::Options {
        waiters: limits.waiters as usize,
        connections: limits.connections as usize,
        job_limit: limits.body,
        ..server::Options::default()
    }
}
