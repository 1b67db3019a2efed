//! Keeps this entry registered with the platform, and watches the lists of entries and VMs.

use crate::{
    Engine,
    call_monitor::CallMonitor,
    vms::{VmHistory, Vms},
};
use dispatch::Event;
use futures_lite::FutureExt;
use platform::{
    Mirror, Store,
    registry::{self, Entry, Registration},
    store::Seconds,
    vms,
};
use smol::Timer;
use std::{sync::Arc, time::Duration};

/// Time to live of a registration. It may expire while the platform is unavailable; no conclusion
/// is drawn from that.
const REGISTRATION_TTL: Seconds = Seconds(15);

/// Interval at which the registration is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Time until a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Connects to the other entries.
pub(crate) trait Connector: Send + Sync {
    /// Records the addresses of `entries` and connects to those that should be connected.
    fn connect(&self, entries: &[Entry]);
}

/// Keeps `entry` registered until the engine exits or another process registers under its name.
pub(crate) async fn keep(engine: Arc<Engine>, store: Arc<dyn Store>, entry: Entry) {
    let Some(mut registration) = register(&engine, &store, entry).await else { return };
    let mut monitor = CallMonitor::new("renew");
    while !exits_within(&engine, RENEWAL_INTERVAL).await {
        let renewed = registration.renew(&*store).await;
        monitor.record(&engine, &renewed);
        if let Err(error @ registry::Error::Superseded { .. }) = renewed {
            tracing::error!(%error, "registration ended; is the entry's name used twice?");
            return;
        }
    }
    if let Err(error) = registration.leave(&*store).await {
        tracing::info!(%error, "failed to unregister; the registration will expire");
    }
}

/// Registers `entry`, with retries. Returns `None` if the engine exits first.
async fn register(engine: &Engine, store: &Arc<dyn Store>, entry: Entry) -> Option<Registration> {
    let mut monitor = CallMonitor::new("register");
    loop {
        let registered = registry::register(&**store, entry.clone(), REGISTRATION_TTL).await;
        monitor.record(engine, &registered);
        match registered {
            Ok(registration) => return Some(registration),
            Err(_) if exits_within(engine, RETRY_DELAY).await => return None,
            Err(_) => {}
        }
    }
}

async fn exits_within(engine: &Engine, time: Duration) -> bool {
    let exits = async {
        engine.exited().await;
        true
    };
    let passes = async {
        Timer::after(time).await;
        false
    };
    exits.or(passes).await
}

/// Watches the registered entries and connects to them. Never returns.
pub(crate) async fn watch_entries(
    engine: Arc<Engine>,
    store: Arc<dyn Store>,
    peers: Arc<dyn Connector>,
) {
    let mut mirror = registry::watch(store);
    let mut monitor = CallMonitor::new("watch-entries");
    loop {
        if !next_change(&engine, &mut monitor, &mut mirror).await {
            continue;
        }
        let others = mirror.documents().values().filter(|entry| entry.home != engine.home());
        let others: Vec<Entry> = others.cloned().collect();
        peers.connect(&others);
        engine.set_entry_count(u32::try_from(others.len() + 1).unwrap_or(u32::MAX));
        let entries = others.iter().map(|entry| entry.home).collect();
        engine.post(Event::Registry { entries });
    }
}

/// Watches the platform's list of VMs. Never returns.
pub(crate) async fn watch_vms(engine: Arc<Engine>, store: Arc<dyn Store>) {
    let mut list = vms::watch(store);
    let mut history = VmHistory::default();
    let mut monitor = CallMonitor::new("watch-vms");
    loop {
        if !next_change(&engine, &mut monitor, &mut list).await {
            continue;
        }
        let named = |(key, vm): (&_, &_)| Some((vms::name(key)?.into(), *vm));
        let vms: Vms = list.documents().iter().filter_map(named).collect();
        let changes = history.update(&vms, &engine.settings().site);
        engine.post(Event::Machines { gone: changes.gone, leaving: changes.leaving });
    }
}

/// Waits for a change. Returns false after an error, once the retry delay has passed.
async fn next_change<T>(
    engine: &Engine,
    monitor: &mut CallMonitor,
    mirror: &mut Mirror<T>,
) -> bool {
    let result = mirror.next().await.map(drop);
    monitor.record(engine, &result);
    if result.is_err() {
        Timer::after(RETRY_DELAY).await;
    }
    result.is_ok()
}
