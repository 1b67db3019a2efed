//! Two data centres in this process.

use crate::settings::{KEY, OPERATOR, Placed, SLOTS, ZONES, files};
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

/// Entries in each data centre.
const ENTRIES: usize = 2;

/// Time between two looks at a state.
const LOOK: Duration = Duration::from_millis(10);

/// How large the world is.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Executors in each data centre, with 8 slots each.
    pub executors: usize,
}

/// Why the world can't be built or used.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// A stand-in can't be started.
    #[display("cannot start a stand-in: {_0}")]
    Standin(io::Error),
    /// A certificate can't be made.
    #[display("{_0}")]
    Tls(link::tls::Error),
    /// The settings were not accepted.
    #[display("{_0}")]
    Platform(manifest::Error),
    /// A daemon's settings are wrong.
    #[display("{_0}")]
    Settings(settings::Report),
    /// An entry can't be started.
    #[display("{_0}")]
    Start(StartError),
    /// A caller got no answer.
    #[display("{_0}")]
    Client(client::Error),
}

/// Two data centres with two entries each, executors and a platform.
pub struct World {
    ledger: Ledger,
    executors: Vec<Placed>,
    entries: Vec<Process>,
    _platform: Platform,
}

impl World {
    /// Starts everything and waits until every entry is ready and knows all others.
    ///
    /// # Errors
    ///
    /// When a part can't be started.
    pub async fn start(options: Options, log: &Log) -> Result<World, Error> {
        let ledger = Ledger::default();
        let platform = Platform::spawn(anywhere())?;
        let executors = executors(options.executors, &ledger)?;
        let store = gateway::Options::new(vec![platform.address()]);
        let store = gateway::Client::new(store);
        manifest::accept(&store, Revision(0), &files(&executors), Uuid::new_v4()).await?;
        let authority = Authority::create()?;
        let mut entries = Vec::new();
        for zone in ZONES {
            for index in 1..=ENTRIES {
                let name = format!("{zone}-entry-{index}");
                let setup = setup(&name, zone, &platform, &authority, log)?;
                entries.push(Process::start(setup).await?);
            }
        }
        let world = World { ledger, executors, entries, _platform: platform };
        world.settle().await;
        Ok(world)
    }

    /// What the executors ran.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Tasks that can run at one time.
    pub fn slots(&self) -> usize {
        self.executors.len() * SLOTS
    }

    /// The entries.
    pub fn entries(&self) -> &[Process] {
        &self.entries
    }

    /// A caller of the firm that knows all entries.
    ///
    /// # Errors
    ///
    /// Never, as there are entries.
    pub fn caller(&self) -> Result<Client, Error> {
        Ok(Client::new(self.addresses(), KEY)?)
    }

    /// An operator that knows all entries.
    ///
    /// # Errors
    ///
    /// Never, as there are entries.
    pub fn operator(&self) -> Result<Client, Error> {
        Ok(Client::new(self.addresses(), OPERATOR)?)
    }

    /// Stops the entries one after another, each as planned.
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

    /// Waits until every entry has the settings and knows all others.
    async fn settle(&self) {
        let others = self.entries.len() - 1;
        let settled = |process: &Process| {
            let engine = process.engine();
            let peers = engine.entry().overview().peers;
            let live = peers.iter().filter(|peer| peer.status == "live").count();
            engine.settings().revision > Revision(0) && live == others
        };
        while !self.entries.iter().all(settled) {
            Timer::after(LOOK).await;
        }
    }
}

fn executors(count: usize, ledger: &Ledger) -> io::Result<Vec<Placed>> {
    let places = ZONES.into_iter().flat_map(|zone| (1..=count).map(move |index| (zone, index)));
    let place = |(zone, index)| {
        let name = format!("{zone}-{index}");
        let options =
            executor::Options { name: name.clone(), slots: SLOTS, ..executor::Options::default() };
        let executor = Executor::spawn(anywhere(), options, ledger.clone())?;
        Ok(Placed { name, zone, executor })
    };
    places.map(place).collect()
}

fn setup(
    name: &str,
    zone: &str,
    platform: &Platform,
    authority: &Authority,
    log: &Log,
) -> Result<Setup, Error> {
    let pair = authority.issue(EntryId::of(name), ENTRY_LIFETIME)?;
    let daemon = serde_json::json!({
        "name": name,
        "data-centre": zone,
        "http": anywhere(),
        "quic": anywhere(),
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

/// A loopback port that the system chooses.
fn anywhere() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
