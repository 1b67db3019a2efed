//! A deployment of entries in two data centres with a stand-in for the platform.

use crate::{folder::Folder, usage::Spread};
use entry::{Process, Setup};
use link::tls::{
    Identity,
    issue::{Authority, ENTRY_LIFETIME},
};
use platform::{
    gateway::{Client, Options},
    manifest::{self, Acceptance},
};
use serde_json::json;
use settings::{Files, daemon::Daemon};
use site::{id::EntryId, unit::Revision};
use smol::Timer;
use standin::platform::Platform;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};
use telemetry::Level;
use uuid::Uuid;

/// Names of the data centres.
const DATA_CENTRES: [&str; 2] = ["cutting", "office"];

/// Interval at which the settings in force are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time for connections and the election of watchers to settle.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// A running deployment.
pub(crate) struct Deployment {
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<Process>,
    store: Client,
    revision: Revision,
}

impl Deployment {
    /// Starts `count` entries in each data centre and waits until all are connected.
    pub(crate) async fn start(count: usize, folder: &Folder) -> Deployment {
        let platform = Platform::spawn(loopback()).expect("a port is free");
        let store = Client::new(Options::new(vec![platform.address()]));
        let authority = Authority::create().expect("keys can be made");
        let (log, _guard) = telemetry::start(io::sink(), Level::Error).expect("a thread starts");
        let mut deployment =
            Deployment { platform, entries: Vec::new(), store, revision: Revision(0) };
        deployment.accept(&folder.files).await;
        for (data_centre, index) in
            DATA_CENTRES.iter().flat_map(|data_centre| (0..count).map(move |i| (*data_centre, i)))
        {
            let name = format!("{data_centre}-{index}");
            let pair = authority
                .issue(EntryId::of(&name), ENTRY_LIFETIME)
                .expect("a certificate can be issued");
            let ca = &authority.pair.certificate;
            let setup = Setup {
                daemon: daemon(&name, data_centre, deployment.platform.address()),
                identity: Identity::from_pem(ca, &pair.certificate, &pair.key)
                    .expect("the identity is valid"),
                certificate: settings::digest(pair.certificate.as_bytes()),
                files: Files::new(),
                log: log.clone(),
            };
            deployment.entries.push(Process::start(setup).await.expect("an entry starts"));
        }
        deployment.wait_in_force(deployment.revision).await;
        Timer::after(SETTLING_TIME).await;
        deployment
    }

    /// Accepts the folder and measures until it is in force at all entries.
    pub(crate) async fn spread(&mut self, folder: &Folder) -> Spread {
        let called = Instant::now();
        let revision = self.accept(&folder.files).await;
        let answered = Instant::now();
        let done = self.wait_in_force(revision).await;
        Spread { called: done - called, answered: done.saturating_duration_since(answered) }
    }

    /// Accepts changes without pauses and measures each.
    pub(crate) async fn burst(&mut self, folder: &mut Folder, changes: usize) -> Vec<Spread> {
        let mut accepted = Vec::new();
        let mut done = Vec::new();
        for _ in 0..changes {
            folder.change();
            let called = Instant::now();
            let revision = self.accept(&folder.files).await;
            accepted.push((called, Instant::now(), revision));
            self.record_lowest(&mut done);
        }
        while self.record_lowest(&mut done) < self.revision {
            Timer::after(POLL_INTERVAL).await;
        }
        let spread = |(called, answered, revision): (Instant, Instant, Revision)| {
            let at = done.iter().find(|(lowest, _)| *lowest >= revision).expect("all are done").1;
            let since = |from| at.saturating_duration_since(from);
            Spread { called: since(called), answered: since(answered) }
        };
        accepted.into_iter().map(spread).collect()
    }

    /// Returns the lowest revision in force, and records the time if it has increased.
    fn record_lowest(&self, done: &mut Vec<(Revision, Instant)>) -> Revision {
        let lowest = self.lowest_revision();
        if done.last().is_none_or(|(known, _)| *known < lowest) {
            done.push((lowest, Instant::now()));
        }
        lowest
    }

    async fn wait_in_force(&self, revision: Revision) -> Instant {
        while self.lowest_revision() < revision {
            Timer::after(POLL_INTERVAL).await;
        }
        Instant::now()
    }

    fn lowest_revision(&self) -> Revision {
        let revisions = self.entries.iter().map(|entry| entry.engine().settings().revision);
        revisions.min().unwrap_or_default()
    }

    async fn accept(&mut self, files: &Files) -> Revision {
        let accepted = manifest::accept(&self.store, self.revision, files, Uuid::new_v4()).await;
        match accepted.expect("the platform is up") {
            Acceptance::Accepted { revision } => self.revision = revision,
            conflict => panic!("there is one operator: {conflict:?}"),
        }
        self.revision
    }
}

fn daemon(name: &str, data_centre: &str, platform: SocketAddr) -> Daemon {
    let text = json!({
        "name": name,
        "data-centre": data_centre,
        "http": loopback(),
        "quic": loopback(),
        "platform": [platform],
        "tls": { "key": "", "certificate": "", "authority": "" },
    });
    Daemon::parse(name.into(), text.to_string().into()).expect("the settings are valid")
}

/// Loopback address with a port that the system chooses.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
