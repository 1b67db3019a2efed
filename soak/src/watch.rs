//! Watches a play while it goes on: which configuration entries have, and what runs for nobody.

use crate::{
    caller::RESEND,
    document::{self, HOST},
    history::{History, Seen},
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

/// How often each entry is asked for its configuration.
const ASK_INTERVAL: Duration = Duration::from_millis(120);

/// How long it may take to answer.
const ASK_LIMIT: Duration = Duration::from_millis(800);

/// How often executors are asked what runs.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);

/// How long a run may go on after the last caller has gone: callers hand a job in again
/// elsewhere after this time. Some is added for the way from the caller to its entry.
const UNWANTED_MOST: Duration = RESEND.saturating_add(Duration::from_millis(50));

/// Asks an entry for its configuration at the address where callers reach it, for good.
pub async fn configuration(injector: Arc<Injector>, entry: usize, address: SocketAddr) {
    let caller = RawClient::new(1, Options::default());
    loop {
        Timer::after(ASK_INTERVAL).await;
        let Some(boot) = boot(&injector, entry) else { continue };
        let asked = Instant::now();
        let Some(version) = version(&injector, &caller, address).await else { continue };
        if self::boot(&injector, entry) == Some(boot) {
            let seen = Seen { entry, boot, asked, version };
            injector.history.note(|record| record.seen.push(seen));
        }
    }
}

/// The number of an entry's process; `None` while a fault has hold of it.
fn boot(injector: &Injector, entry: usize) -> Option<u32> {
    injector.site.nodes[entry].entry.try_lock().map(|process| process.boot)
}

/// The version that an entry has in force: the only one whose marker it knows.
async fn version(injector: &Injector, caller: &RawClient, address: SocketAddr) -> Option<u64> {
    for version in (1..=injector.version.load(Ordering::Relaxed)).rev() {
        let reply = caller.send(address, ask(version)).await.ok()?;
        if reply.status == 200 {
            return Some(version);
        }
    }
    None
}

fn ask(version: u64) -> RawRequest {
    RawRequest {
        method: Method::Get,
        path: document::marker(version),
        headers: vec![("Host", HOST.to_owned())],
        body: Vec::new().into(),
        time_limit: ASK_LIMIT,
    }
}

/// Looks for runs that go on although nobody waits, for good.
pub async fn runs(site: Arc<Site>, history: Arc<History>) {
    loop {
        Timer::after(LOOK_INTERVAL).await;
        let running = site.workers.iter().flat_map(|worker| worker.executor.running());
        for run in running {
            match history.unwanted_for(&run.job) {
                Some(span) if span > UNWANTED_MOST => {
                    history.note(|record| record.unwanted.push((run.to_string(), span)));
                }
                _ => {}
            }
        }
    }
}
