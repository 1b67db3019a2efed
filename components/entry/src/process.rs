//! A whole entry: engine, interface, connections, and what follows the platform.

use crate::{
    Backend, Config, Edges, Engine, claims,
    failpoint::failpoint,
    metrics::Metrics,
    network::Network,
    registry::{self, Meet},
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

/// Bytes of answers that are kept for callers who come back.
const ANSWER_BYTES: usize = 64 << 20;

/// Longest time that a stop waits for the end of its registration.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);

/// What an entry is started with.
#[derive(Debug)]
pub struct Setup {
    /// The daemon's settings.
    pub daemon: Daemon,
    /// Proves which entry this is.
    pub identity: Identity,
    /// Digest of its certificate.
    pub certificate: Digest,
    /// Settings to start with; empty for none.
    pub files: Files,
    /// The log.
    pub log: Log,
}

/// Why an entry can't start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The settings to start with are wrong.
    #[display("{_0}")]
    Settings(settings::Report),
    /// The metrics can't be set up.
    #[display("{_0}")]
    Metrics(MetricsError),
    /// The address for other entries can't be used.
    #[display("{_0}")]
    Link(link::Error),
    /// The address for callers can't be used.
    #[display("{_0}")]
    Server(server::listen::BindError),
}

/// A running entry.
pub struct Process {
    engine: Arc<Engine>,
    server: Server,
    network: Arc<Network>,
    /// Closed once the registration has ended.
    registered: Receiver<()>,
    drain_limit: Duration,
}

impl Process {
    /// Starts an entry. It is ready once it has settings.
    ///
    /// # Errors
    ///
    /// When its settings are wrong or its addresses can't be used.
    pub async fn start(setup: Setup) -> Result<Process, StartError> {
        let daemon = setup.daemon;
        let home = home(&daemon);
        let (site, revision) = initial(&setup.files)?;
        let mut link = link::Options::new(home, daemon.quic, setup.identity);
        link.backlog = daemon.limits.waiters as usize;
        let (node, incoming) = Node::start(link)?;
        let network = Arc::new(Network::new(home, node));
        let edges = Edges {
            transport: Arc::new(http::Client::new(home.incarnation, http::Options::default())),
            peers: network.clone(),
            log: setup.log,
        };
        let options = options(&daemon, home, site, revision);
        let engine = Arc::new(Engine::new(options, edges, Metrics::new()?));
        network.bind(&engine);
        let store = Client::new(gateway::Options::new(daemon.platform.clone()));
        let store: Arc<dyn Store> = Arc::new(store);
        let config = Arc::new(Config::new(engine.clone(), store.clone(), setup.files));
        spawn(engine.clone().run_timer());
        spawn(network.clone().receive(incoming, engine.clone(), config.clone()));
        let seeds = daemon.seeds.iter().map(|(name, at)| (EntryId::of(name), *at));
        network.meet_seeds(seeds);
        let backend = Arc::new(Backend::new(engine.clone()));
        let server = Server::start(daemon.http, backend, interface(&daemon)).await?;
        let entry = Entry {
            home,
            data_centre: daemon.data_centre.clone(),
            http: server.address(),
            quic: network.address(),
            certificate: setup.certificate,
        };
        follow(&engine, &store, &network, config);
        let registered = register(&engine, &store, entry);
        tracing::info!(%home, http = %server.address(), quic = %network.address(), "started");
        let drain_limit = Duration::from_micros(daemon.limits.drain.0);
        Ok(Process { engine, server, network, registered, drain_limit })
    }

    /// The engine.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// Where callers and operators reach it.
    pub fn http(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where other entries reach it.
    pub fn quic(&self) -> SocketAddr {
        self.network.address()
    }

    /// What other entries sent and were sent, since the start.
    pub fn traffic(&self) -> Traffic {
        self.network.traffic()
    }

    /// Returns once a planned stop has finished, or after its time limit; false in that case.
    pub async fn exited(&self) -> bool {
        let exited = async {
            self.engine.exited().await;
            true
        };
        exited.or(self.overdue()).await
    }

    /// Closes the interface and all connections, once requests in progress have their answers.
    pub async fn close(self) {
        failpoint!("before-exit");
        self.server.stop().await;
        let left = async {
            let _ = self.registered.recv().await;
        };
        let late = async {
            Timer::after(LEAVE_LIMIT).await;
        };
        left.or(late).await;
        self.network.close().await;
    }

    /// Returns false when a planned stop has taken too long.
    async fn overdue(&self) -> bool {
        self.engine.drain_begun().await;
        Timer::after(self.drain_limit).await;
        false
    }
}

/// Starts everything that follows the platform.
fn follow(
    engine: &Arc<Engine>,
    store: &Arc<dyn Store>,
    network: &Arc<Network>,
    config: Arc<Config>,
) {
    let meet: Arc<dyn Meet> = network.clone();
    spawn(registry::follow(engine.clone(), store.clone(), meet));
    spawn(registry::follow_vms(engine.clone(), store.clone()));
    spawn(usage::run(engine.clone()));
    spawn(claims::run(engine.clone(), store.clone()));
    spawn(config.clone().enforce());
    spawn(async move {
        config.fetch().await;
        config.run().await;
    });
}

/// Registers the entry. The channel closes once the registration has ended.
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

/// The settings to start with. Their revision is below every accepted one, so that these replace
/// them.
fn initial(files: &Files) -> Result<(Site, Revision), settings::Report> {
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
        answer_bytes: ANSWER_BYTES,
        slots_per_lead: DEFAULT_SLOTS_PER_LEAD,
    }
}

fn interface(daemon: &Daemon) -> server::Options {
    let limits = &daemon.limits;
    server::Options {
        waiters: limits.waiters as usize,
        connections: limits.connections as usize,
        job_limit: limits.body,
        ..server::Options::default()
    }
}
