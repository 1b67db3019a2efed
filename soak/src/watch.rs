//! Observes a play in progress: which configuration each entry has, and which runs no caller waits
//! for.

use crate::{
    caller::RESEND_DELAY,
    document::{self, HOST},
    history::{ConfigObservation, History},
    inject::Injector,
    site::Site,
};
use endpoint::http::{Options, RawClient, RawRequest};
use smol::Timer;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};
use trillium_client::Method;

/// How often the configuration of each entry is queried.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Timeout of such a query.
const CONFIG_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// How often the running tasks of the executors are listed.
const RUNS_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// How long a run may continue after the last caller has left: callers submit a job to another
/// entry after [`RESEND_DELAY`]. 50 ms are added for the network delay from the caller to its
/// entry.
const MAX_UNWANTED_TIME: Duration = RESEND_DELAY.saturating_add(Duration::from_millis(50));

/// Records the configuration of an entry, queried at its address for callers, until it is dropped.
pub async fn configuration(injector: Arc<Injector>, entry: usize, address: SocketAddr) {
    let caller = RawClient::new(1, Options::default());
    loop {
        Timer::after(CONFIG_POLL_INTERVAL).await;
        let Some(boot) = boot(&injector, entry) else { continue };
        let asked = Instant::now();
        let Some(version) = version(&injector, &caller, address).await else { continue };
        if self::boot(&injector, entry) == Some(boot) {
            let observation = ConfigObservation { entry, boot, asked, version };
            injector.history.update(|record| record.config_observations.push(observation));
        }
    }
}

/// Returns the number of an entry's process; `None` while a fault has it locked.
fn boot(injector: &Injector, entry: usize) -> Option<u32> {
    injector.site.nodes[entry].entry.try_lock().map(|process| process.boot)
}

/// Returns the version that an entry has in force: the only one whose marker queue exists.
async fn version(injector: &Injector, caller: &RawClient, address: SocketAddr) -> Option<u64> {
    for version in (1..=injector.version.load(Ordering::Relaxed)).rev() {
        let reply = caller.send(address, marker_request(version)).await.ok()?;
        if reply.status == 200 {
            return Some(version);
        }
    }
    None
}

fn marker_request(version: u64) -> RawRequest {
    RawRequest {
        method: Method::Get,
        path: document::marker_path(version),
        headers: vec![("Host", HOST.to_owned())],
        body: Vec::new().into(),
        time_limit: CONFIG_REQUEST_TIMEOUT,
    }
}

/// Records runs that continue although no caller waits for their job, until it is dropped.
pub async fn runs(site: Arc<Site>, history: Arc<History>) {
    loop {
        Timer::after(RUNS_POLL_INTERVAL).await;
        let running = site.workers.iter().flat_map(|worker| worker.executor().running());
        for run in running {
            match history.unwanted_for(&run.job) {
                Some(span) if span > MAX_UNWANTED_TIME => {
                    history.update(|record| record.unwanted.push((run.to_string(), span)));
                }
                _ => {}
            }
        }
    }
}
