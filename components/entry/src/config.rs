//! Keeps the settings of an entry up to date, from the platform and from other entries, and puts
//! them in force.

use crate::{
    Engine,
    call_monitor::CallMonitor,
    replica::{Received, Replica},
};
use async_channel::{Receiver, Sender};
use dispatch::{Message, message};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use platform::{Store, manifest};
use settings::Files;
use site::{id::Home, unit::Revision};
use smol::Timer;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval for re-checking the election of watchers and for retrying failed calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the start until an entry may watch the platform. By then it has received its peers'
/// heartbeats, so that no more entries watch than necessary.
const WATCH_START_DELAY: Duration = Duration::from_secs(1);

/// Minimum time between two starts of applying settings. Parsing a whole folder takes up to a tenth
/// of this.
const APPLY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two parts sent to a peer: 10 MB/s with full parts.
const PART_INTERVAL: Duration = Duration::from_millis(25);

/// Receives settings from the platform and from peers, relays them, and applies them to the engine.
pub struct Config {
    engine: Arc<Engine>,
    store: Arc<dyn Store>,
    replica: Mutex<Replica>,
    /// Contains a token while the held settings may be newer than those in force.
    changed: (Sender<()>, Receiver<()>),
}

impl Config {
    /// Creates the settings sync of `engine`, whose current settings are those in `files`.
    pub fn new(engine: Arc<Engine>, store: Arc<dyn Store>, files: Files) -> Config {
        let replica = Replica::new(engine.home(), engine.settings().revision, files);
        let replica = Mutex::new(replica);
        Config { engine, store, replica, changed: async_channel::bounded(1) }
    }

    /// Returns the held revision. It is in force soon, unless it turns out to be unusable here.
    pub fn revision(&self) -> Revision {
        self.replica.lock().folder().revision()
    }

    /// Handles a peer's heartbeat: requests the peer's settings if its revision is newer.
    pub fn handle_heartbeat(&self, peer: Home, revision: Revision, draining: bool) {
        let now = self.engine.clock().now();
        let request = self.replica.lock().handle_heartbeat(now, peer, revision, draining);
        if let Some(request) = request {
            self.engine.send(peer, request);
        }
    }

    /// Removes the state of a peer whose connection is lost.
    pub fn remove_peer(&self, peer: Home) {
        self.replica.lock().remove_peer(peer);
    }

    /// Handles a peer's request for settings newer than `have`.
    pub fn handle_request(&self, peer: Home, have: Revision) {
        let parts = self.replica.lock().handle_request(self.engine.clock().now(), peer, have);
        if !parts.is_empty() {
            crate::spawn::spawn(send(self.engine.clone(), peer, parts));
        }
    }

    /// Handles a part of a settings delta from a peer.
    pub fn handle_part(&self, from: Home, part: message::Settings) {
        let received = self.replica.lock().handle_part(self.engine.clock().now(), from, part);
        match received {
            Received::Updated => self.trigger_apply(),
            Received::Incomplete => {}
            Received::Ignored => self.engine.metrics().record_wasted("settings"),
            Received::Request(request) => self.engine.send(from, request),
        }
    }

    /// Reads the settings from the platform once.
    pub async fn fetch(&self) {
        let known = self.known();
        let fetched = manifest::fetch(&*self.store, &known).await;
        CallMonitor::new("fetch-settings").record(&self.engine, &fetched);
        match fetched {
            Ok(Some(found)) => self.install(found.manifest.revision, found.files),
            Ok(None) => tracing::info!("the platform holds no settings yet"),
            // A watcher retries, and peers report newer settings.
            Err(_) => {}
        }
    }

    /// Watches the platform while this entry is one of the elected watchers. Never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        Timer::after(WATCH_START_DELAY).await;
        loop {
            if self.is_watcher() {
                tracing::info!("watching the platform's settings");
                self.watch().or(self.wait_until_released()).await;
                tracing::info!("no longer watching the platform's settings");
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    }

    async fn watch(&self) {
        let mut feed = manifest::Feed::new(self.store.clone(), self.revision());
        let mut monitor = CallMonitor::new("watch-settings");
        loop {
            let next = feed.next().await;
            monitor.record(&self.engine, &next);
            match next {
                Ok(manifest) => self.fetch_files(&manifest).await,
                Err(_) => drop(Timer::after(RETRY_INTERVAL).await),
            }
        }
    }

    /// Reads the files of a manifest, with retries, unless a newer revision is held meanwhile.
    async fn fetch_files(&self, found: &manifest::Manifest) {
        let mut monitor = CallMonitor::new("fetch-settings");
        while found.revision > self.revision() {
            let known = self.known();
            let files = manifest::bodies(&*self.store, found, &known).await;
            monitor.record(&self.engine, &files);
            match files {
                Ok(files) => return self.install(found.revision, files),
                Err(manifest::Error::Missing { digest }) => {
                    // A newer manifest has replaced this one; the feed will report it.
                    tracing::info!(%digest, "the settings were replaced while they were read");
                    return;
                }
                Err(_) => drop(Timer::after(RETRY_INTERVAL).await),
            }
        }
    }

    async fn wait_until_released(&self) {
        while self.is_watcher() {
            Timer::after(RETRY_INTERVAL).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let now = self.engine.clock().now();
        !self.engine.is_draining() && self.replica.lock().tracker().is_watcher(now)
    }

    fn known(&self) -> Files {
        self.replica.lock().folder().files().clone()
    }

    /// Applies the newest held settings, at most once per [`APPLY_INTERVAL`]. A single change is
    /// applied at once. Never returns.
    pub(crate) async fn run_apply(self: Arc<Self>) {
        while self.changed.1.recv().await.is_ok() {
            let next = Instant::now() + APPLY_INTERVAL;
            self.apply().await;
            Timer::at(next).await;
        }
    }

    async fn apply(&self) {
        let (revision, files) = {
            let replica = self.replica.lock();
            (replica.folder().revision(), replica.folder().files().clone())
        };
        if revision <= self.engine.settings().revision {
            return;
        }
        match smol::unblock(move || settings::parse(&files)).await {
            Ok(checked) => {
                self.engine.apply_settings(revision, Arc::new(checked.site));
                tracing::info!(%revision, "settings in force");
            }
            Err(report) => {
                tracing::error!(%revision, %report, "accepted settings can't be used here");
                self.replica.lock().reject(revision);
            }
        }
    }

    /// Installs settings that were read from the platform, and relays them to peers.
    fn install(&self, revision: Revision, files: Files) {
        let relays = {
            let mut replica = self.replica.lock();
            if !replica.install(revision, files) {
                return;
            }
            replica.relay_messages(self.engine.clock().now())
        };
        tracing::info!(%revision, relays = relays.len(), "newer settings read from the platform");
        self.trigger_apply();
        for (peer, part) in relays {
            self.engine.send(peer, Message::Settings(part));
        }
    }

    /// Triggers applying the held settings.
    fn trigger_apply(&self) {
        // If the channel is full, the trigger is pending already.
        let _ = self.changed.0.try_send(());
    }
}

/// Sends parts to a peer with pauses in between: all at once may exceed the peer's queue.
async fn send(engine: Arc<Engine>, peer: Home, parts: Vec<message::Settings>) {
    for part in parts {
        let last = part.last;
        engine.send(peer, Message::Settings(part));
        if !last {
            Timer::after(PART_INTERVAL).await;
        }
    }
}
