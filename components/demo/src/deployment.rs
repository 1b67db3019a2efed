//! Deployment of two data centres in this process.

use crate::settings::{DATA_CENTRES, KEY, OPERATOR, PlacedExecutor, SLOTS_PER_EXECUTOR, files};
use client::Client;
use derive_more::{Display, Error as StdError, From};
use entry::{Process, Setup, StartError};
use link::tls::{
    Identity,
    issue::{Authority, ENTRY_LIFETIME},
};
use platform::{gateway, manifest};
use settings::{Files, daemon::Daemon};
use site::{id::EntryId, unit::Revision};
use smol::Timer;
use standin::{Executor, Ledger, executor, platform::Platform};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use telemetry::Log;
use uuid::Uuid;

/// Number of entries in each data centre.
const ENTRIES_PER_DATA_CENTRE: usize = 2;

/// Interval at which a state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of executors in each data centre, with 8 slots each.
    pub executors: usize,
}

/// Error of starting or using the deployment.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// A stand-in can't be started.
    #[display("cannot start a stand-in: {_0}")]
    Standin(io::Error),
    /// A certificate can't be created.
    #[display("{_0}")]
    Tls(link::tls::Error),
    /// The settings were not accepted.
    #[display("{_0}")]
    Platform(manifest::Error),
    /// A daemon's settings are invalid.
    #[display("{_0}")]
    Settings(settings::Report),
    /// An entry can't be started.
    #[display("{_0}")]
    Start(StartError),
    /// A call of the client failed.
    #[display("{_0}")]
    Client(client::Error),
}

/// Two data centres with two entries each, executors and a platform.
pub struct Deployment {
    ledger: Ledger,
    executors: Vec<PlacedExecutor>,
    entries: Vec<Process>,
    _platform: Platform,
}

impl Deployment {
    /// Starts all parts and waits until every entry has settings and sees all others as live.
    ///
    /// # Errors
    ///
    /// When a part can't be started.
    pub async fn start(options: Options, log: &Log) -> Result<Deployment, Error> {
        let ledger = Ledger::default();
        let platform = Platform::spawn(loopback())?;
        let executors = executors(options.executors, &ledger)?;
        let store = gateway::Options::new(vec![platform.address()]);
        let store = gateway::Client::new(store);
        manifest::accept(&store, Revision(0), &files(&executors), Uuid::new_v4()).await?;
        let authority = Authority::create()?;
        let mut entries = Vec::new();
        for data_centre in DATA_CENTRES {
            for index in 1..=ENTRIES_PER_DATA_CENTRE {
                let name = format!("{data_centre}-entry-{index}");
                let setup = setup(&name, data_centre, &platform, &authority, log)?;
                entries.push(Process::start(setup).await?);
            }
        }
        let deployment = Deployment { ledger, executors, entries, _platform: platform };
        deployment.wait_ready().await;
        Ok(deployment)
    }

    /// Returns the ledger of what the executors ran.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the number of tasks that can run at the same time.
    pub fn slots(&self) -> usize {
        self.executors.len() * SLOTS_PER_EXECUTOR
    }

    /// Returns the entries.
    pub fn entries(&self) -> &[Process] {
        &self.entries
    }

    /// Creates a client with the firm's key for all entries.
    ///
    /// # Errors
    ///
    /// Never, as there are entries.
    pub fn client(&self) -> Result<Client, Error> {
        Ok(Client::new(self.addresses(), KEY)?)
    }

    /// Creates a client with the operator's key for all entries.
    ///
    /// # Errors
    ///
    /// Never, as there are entries.
    pub fn operator(&self) -> Result<Client, Error> {
        Ok(Client::new(self.addresses(), OPERATOR)?)
    }

    /// Drains and stops the entries one after another.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.engine().drain();
            entry.exited().await;
            entry.close().await;
        }
    }

    fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.iter().map(Process::http)
    }

    /// Waits until every entry has the settings and sees all others as live.
    async fn wait_ready(&self) {
        let others = self.entries.len() - 1;
        let settled = |process: &Process| {
            let engine = process.engine();
            let peers = engine.entry().overview().peers;
            let live = peers.iter().filter(|peer| peer.status == "live").count();
            engine.settings().revision > Revision(0) && live == others
        };
        while !self.entries.iter().all(settled) {
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

fn executors(count: usize, ledger: &Ledger) -> io::Result<Vec<PlacedExecutor>> {
    let places = DATA_CENTRES
        .into_iter()
        .flat_map(|data_centre| (1..=count).map(move |index| (data_centre, index)));
    let place = |(data_centre, index)| {
        let name = format!("{data_centre}-{index}");
        let options = executor::Options {
            name: name.clone(),
            slots: SLOTS_PER_EXECUTOR,
            ..executor::Options::default()
        };
        let executor = Executor::spawn(loopback(), options, ledger.clone())?;
        Ok(PlacedExecutor { name, data_centre, executor })
    };
    places.map(place).collect()
}

fn setup(
    name: &str,
    data_centre: &str,
    platform: &Platform,
    authority: &Authority,
    log: &Log,
) -> Result<Setup, Error> {
    let pair = authority.issue(EntryId::of(name), ENTRY_LIFETIME)?;
    let daemon = serde_json::json!({
        "name": name,
        "data-centre": data_centre,
        "http": loopback(),
        "quic": loopback(),
        "platform": [platform.address()],
        "tls": { "key": "", "certificate": "", "authority": "" },
    });
    Ok(Setup {
        daemon: Daemon::parse(name.into(), daemon.to_string().into())?,
        identity: Identity::from_pem(&authority.pair.certificate, &pair.certificate, &pair.key)?,
        certificate: settings::digest(pair.certificate.as_bytes()),
        files: Files::new(),
        log: log.clone(),
    })
}

/// Loopback address with a port that the system chooses.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
