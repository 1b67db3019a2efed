//! A site of one data centre: a platform, executors and entries.

use crate::{
    caller::{Caller, post},
    child::Process,
};
use bytes::Bytes;
use client::Client;
use link::tls::issue::{Authority, ENTRY_LIFETIME};
use platform::{
    gateway::{self, Options},
    manifest,
};
use serde_json::{Map, Value, json};
use site::{id::EntryId, unit::Revision};
use smol::Timer;
use standin::platform::Platform;
use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};
use uuid::Uuid;

/// API key of the firm.
const FIRM_KEY: &str = "bench-firm";

/// API key of the operator.
const OPERATOR_KEY: &str = "bench-operator";

/// Interval at which a state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running site.
pub(crate) struct World {
    pub(crate) entries: Vec<Process>,
    /// Names of the entries in tokens.
    names: Vec<String>,
    pub(crate) executors: Process,
    _platform: Platform,
    dir: PathBuf,
}

impl World {
    /// Starts a site and waits until all of it is ready.
    pub(crate) async fn start(entries: usize, executors: usize) -> World {
        let count = executors.to_string();
        let executors = Process::spawn(&["--role", "executors", "--executors", &count]);
        let platform = Platform::spawn(ephemeral_address()).expect("a port is free");
        let store = gateway::Client::new(Options::new(vec![platform.address()]));
        let files = files(&executors.addresses);
        manifest::accept(&store, Revision(0), &files, Uuid::new_v4()).await.expect("it is up");
        let dir = std::env::temp_dir().join(format!("primrosestep-{}", Uuid::new_v4()));
        fs::create_dir(&dir).expect("the name is new");
        let authority = Authority::create().expect("keys can be made");
        let start = |index| {
            let settings = write(&dir, &format!("entry-{index}"), platform.address(), &authority);
            Process::spawn(&["--role", "entry", "--settings", settings.to_str().unwrap_or("")])
        };
        let entries = (0..entries).map(start).collect();
        let names = Vec::new();
        let mut world = World { entries, names, executors, _platform: platform, dir };
        world.wait_until_ready().await;
        world
    }

    /// Connects a caller to an entry.
    pub(crate) async fn caller(&self, entry: usize) -> Caller {
        Caller::connect(self.entries[entry].address()).await
    }

    /// Returns the index of the entry that a token names.
    pub(crate) fn entry_index(&self, token: &str) -> usize {
        let home = self.names.iter().position(|home| token.starts_with(home.as_str()));
        home.expect("a token names an entry")
    }

    /// Returns the value of a metric without labels at the first entry.
    pub(crate) async fn metric(&self, name: &str) -> u64 {
        let get = String::from_utf8(post("/metrics", &[], "")).expect("a request is text");
        let get = get.replacen("POST", "GET", 1);
        let response = self.caller(0).await.exchange(get.as_bytes()).await;
        let text = String::from_utf8(response.body).expect("metrics are text");
        let of = |line: &str| line.strip_prefix("primrosestep_")?.strip_prefix(name)?.parse().ok();
        text.lines().find_map(|line| of(&line.replacen(' ', "", 1))).expect("it is counted")
    }

    /// Waits until every entry knows all others and responds.
    async fn wait_until_ready(&mut self) {
        for (index, entry) in self.entries.iter().enumerate() {
            let operator =
                Client::new([entry.address()], OPERATOR_KEY).expect("one entry is named");
            let others = self.entries.len() - 1;
            let name = loop {
                match operator.show("peers").await {
                    Ok(view) if live_peer_count(&view) == Some(others) => {
                        break view["home"].clone();
                    }
                    _ => drop(Timer::after(POLL_INTERVAL).await),
                }
            };
            self.names.push(name.as_str().expect("a home is text").to_owned());
            let mut caller = self.caller(index).await;
            while caller.exchange(&request(&[])).await.status != 200 {
                Timer::after(POLL_INTERVAL).await;
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // A folder that can't be removed is left to the system's cleanup of temporary files.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns the bytes of a single request.
pub(crate) fn request(headers: &[(&str, &str)]) -> Vec<u8> {
    submit("/v1/requests/templating", headers, &body())
}

/// Returns the bytes of a submission to an entry.
pub(crate) fn submit(path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let key = format!("Bearer {FIRM_KEY}");
    post(path, &[headers, &[("Authorization", key.as_str())]].concat(), body)
}

/// Returns the body of a task that ends at once.
pub(crate) fn body() -> String {
    json!({ "ms": 0, "echo": "a cutout of 560 by 490 at 120 from the edge" }).to_string()
}

/// Returns a loopback address whose port the system chooses.
pub(crate) fn ephemeral_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn live_peer_count(view: &Value) -> Option<usize> {
    let is_live = |peer: &&Value| peer["status"] == "live";
    Some(view["peers"].as_array()?.iter().filter(is_live).count())
}

/// Writes an entry's settings and keys.
fn write(dir: &Path, name: &str, platform: SocketAddr, authority: &Authority) -> PathBuf {
    let pair = authority.issue(EntryId::of(name), ENTRY_LIFETIME).expect("keys can be made");
    let put = |suffix: &str, text: &str| {
        let path = dir.join(format!("{name}{suffix}"));
        fs::write(&path, text).expect("the folder is writable");
        path
    };
    let settings = json!({
        "name": name,
        "data-centre": "cutting",
        "http": ephemeral_address(),
        "quic": ephemeral_address(),
        "platform": [platform],
        "tls": {
            "key": put(".key", &pair.key),
            "certificate": put(".pem", &pair.certificate),
            "authority": put(".ca", &authority.pair.certificate),
        },
    });
    put(".json", &settings.to_string())
}

fn files(executors: &[SocketAddr]) -> settings::Files {
    let member = |(index, address): (usize, &SocketAddr)| {
        let terms = json!({
            "data-centre": "cutting", "address": address.to_string(), "service": "templating",
        });
        (format!("executor-{index}"), terms)
    };
    let executors: Map<String, Value> = executors.iter().enumerate().map(member).collect();
    let digest = |key: &str| settings::digest(key.as_bytes()).to_string();
    let service = json!({ "repeatable": true, "deadline": "300s", "run-time": "1ms" });
    let site = json!({
        "data-centres": { "cutting": { "region": "zilina" } },
        "services": { "templating": service },
        "executors": executors,
        "firms": { "kovacik": { "key-digests": { "bench": digest(FIRM_KEY) } } },
        "contracts": { "kovacik": { "firm": "kovacik", "service": "templating" } },
        "operators": { "duty": { "key-digests": { "bench": digest(OPERATOR_KEY) } } },
    });
    [("10-site.json".into(), Bytes::from(site.to_string()))].into_iter().collect()
}
