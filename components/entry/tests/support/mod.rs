//! Entry processes, with stand-ins for the platform and the executors.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

pub mod call;

use bytes::Bytes;
use compact_str::CompactString;
use link::tls::issue::{Authority, ENTRY_LIFETIME};
use platform::{
    gateway::{Client, Options},
    manifest::{self, Acceptance},
};
use serde_json::{Value, json};
use settings::Files;
use site::{
    id::{EntryId, Home, Token},
    unit::Revision,
};
use smol::Timer;
use standin::{Executor, Ledger, executor, platform::Platform};
use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc::{self, Receiver},
    thread,
    time::Duration,
};
use trillium_client::Conn;
use trillium_smol::ClientConfig;
use uuid::Uuid;

/// The firm's key.
pub const KEY: &str = "quarry";

/// The operator's key.
pub const OPERATOR: &str = "foreman";

/// Maximum time to wait for a state before the test fails as stuck.
const STUCK_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Loopback address with a port that the system chooses.
pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Polls `state` until it returns a value.
pub async fn until<T, F: Future<Output = Option<T>>>(what: &str, state: impl Fn() -> F) -> T {
    let mut waited = Duration::ZERO;
    loop {
        if let Some(found) = state().await {
            return found;
        }
        assert!(waited < STUCK_TIMEOUT, "stuck waiting until {what}");
        Timer::after(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
}

/// Data centres `cutting` and `office` with executors of the service `templating`.
pub struct Deployment {
    pub platform: Platform,
    pub ledger: Ledger,
    pub executors: Vec<Executor>,
    authority: Authority,
    dir: PathBuf,
    /// The settings of revision 1.
    files: Files,
}

impl Deployment {
    /// Starts `counts` executors in `cutting` and `office`, and accepts settings for them.
    pub fn new(counts: [usize; 2]) -> Deployment {
        let ledger = Ledger::default();
        let platform = Platform::spawn(loopback()).unwrap();
        let dir = std::env::temp_dir().join(format!("primrosestep-{}", Uuid::new_v4()));
        fs::create_dir(&dir).unwrap();
        let mut members = serde_json::Map::new();
        let mut executors = Vec::new();
        for (data_centre, count) in ["cutting", "office"].into_iter().zip(counts) {
            for index in 1..=count {
                let name = format!("{data_centre}-{index}");
                let options =
                    executor::Options { name: name.clone(), ..executor::Options::default() };
                let executor = Executor::spawn(loopback(), options, ledger.clone()).unwrap();
                let address = executor.address().to_string();
                let member = json!({
                    "data-centre": data_centre, "address": address, "service": "templating",
                });
                members.insert(name, member);
                executors.push(executor);
            }
        }
        let authority = Authority::create().unwrap();
        let files = files(members.into());
        let deployment = Deployment { platform, ledger, executors, authority, dir, files };
        let revision = smol::block_on(deployment.apply(Revision(0), &deployment.files));
        assert_eq!(revision, Revision(1));
        deployment
    }

    /// Applies settings to the platform and returns their revision.
    pub async fn apply(&self, base: Revision, files: &Files) -> Revision {
        let store = Client::new(Options::new(vec![self.platform.address()]));
        match manifest::accept(&store, base, files, Uuid::new_v4()).await.unwrap() {
            Acceptance::Accepted { revision } => revision,
            conflict => panic!("{conflict:?}"),
        }
    }

    /// The settings of revision 1.
    pub fn files(&self) -> Files {
        self.files.clone()
    }

    /// Starts an entry.
    pub fn entry(&self, name: &str, data_centre: &str) -> Entry {
        self.entry_with(name, data_centre, &[])
    }

    /// Starts an entry with seed entries in its settings.
    pub fn entry_with(&self, name: &str, data_centre: &str, seeds: &[(&str, &Entry)]) -> Entry {
        let seeds: BTreeMap<_, _> = seeds.iter().map(|(name, entry)| (name, entry.quic)).collect();
        let file = |suffix: &str| self.dir.join(format!("{name}{suffix}"));
        let pair = self.authority.issue(EntryId::of(name), ENTRY_LIFETIME).unwrap();
        fs::write(file(".pem"), pair.certificate).unwrap();
        fs::write(file(".key"), pair.key).unwrap();
        fs::write(file(".ca"), &self.authority.pair.certificate).unwrap();
        let settings = json!({
            "name": name,
            "data-centre": data_centre,
            "http": loopback(),
            "quic": loopback(),
            "platform": [self.platform.address()],
            "seeds": seeds,
            "tls": { "key": file(".key"), "certificate": file(".pem"), "authority": file(".ca") },
        });
        fs::write(file(".json"), settings.to_string()).unwrap();
        Entry::spawn(name, &file(".json"), file(".failpoint"))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns settings files with these executors.
fn files(executors: Value) -> Files {
    let digest = |key: &str| settings::digest(key.as_bytes()).to_string();
    let base = json!({
        "data-centres": { "cutting": { "region": "zilina" }, "office": { "region": "zilina" } },
        "links": { "one": { "between": ["cutting", "office"], "latency": "1400us" } },
        "services": { "templating": { "repeatable": true } },
        "executors": executors,
        "firms": { "masons": { "key-digests": { "one": digest(KEY) } } },
        "contracts": { "c": { "firm": "masons", "service": "templating" } },
        "operators": { "duty": { "key-digests": { "one": digest(OPERATOR) } } },
    });
    let text = Bytes::from(base.to_string());
    [(CompactString::from("00-all.json"), text)].into()
}

/// An entry process, killed on drop.
pub struct Entry {
    pub name: String,
    child: Child,
    /// Log lines that were not read yet.
    lines: Receiver<Value>,
    /// File that arms a failpoint while it exists.
    failpoint: PathBuf,
    pub http: SocketAddr,
    pub quic: SocketAddr,
}

impl Entry {
    fn spawn(name: &str, settings: &Path, failpoint: PathBuf) -> Entry {
        let mut child = Command::new(env!("CARGO_BIN_EXE_primrosestep-entry"))
            .env("PRIMROSESTEP_FAILPOINT", &failpoint)
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(line) => drop(sender.send(line)),
                    Err(_) => eprintln!("entry: {line}"),
                }
            }
        });
        let (http, quic) = (loopback(), loopback());
        let mut entry = Entry { name: name.into(), child, lines, failpoint, http, quic };
        let started = entry.line("it has started", |line| line["fields"]["message"] == "started");
        let address = |what: &str| started["fields"][what].as_str().unwrap().parse().unwrap();
        (entry.http, entry.quic) = (address("http"), address("quic"));
        entry
    }

    /// Returns the next log line that matches `wanted`, and discards those before it.
    pub fn line(&self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        loop {
            match self.lines.recv_timeout(STUCK_TIMEOUT) {
                Ok(line) if wanted(&line) => return line,
                Ok(_) => {}
                Err(error) => panic!("stuck waiting until {what}: {error}"),
            }
        }
    }

    /// Sends a request with the firm's key.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        self.send_as(KEY, method, path, headers, body).await.unwrap()
    }

    /// Sends a request with `key`. Returns `None` if there is no response.
    pub async fn send_as(
        &self,
        key: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        send(self.http, key, method, path, headers, body).await
    }

    /// Waits until the entry is ready and sees at least `peers` live peers.
    pub async fn ready(&self, peers: usize) {
        until("it is ready", || async {
            let reply = self.send("GET", "/readyz", &[], "").await;
            (reply.status == 200).then_some(())
        })
        .await;
        until("it knows its peers", || async {
            let path = "/v1/admin/show/peers";
            let reply = self.send_as(OPERATOR, "GET", path, &[], "").await?;
            let known = reply.json()["peers"].as_array()?.clone();
            let live = known.iter().filter(|peer| peer["status"] == "live").count();
            (live >= peers).then_some(())
        })
        .await;
    }

    /// Returns the token that the entry gives to callers; its home may be another entry.
    pub async fn token(&self) -> Token {
        let reply = self.send("GET", "/v1/home", &[], "").await.json();
        reply["token"].as_str().unwrap().parse().unwrap()
    }

    /// Returns the identity of the process.
    pub async fn home(&self) -> Home {
        let reply = self.send_as(OPERATOR, "GET", "/v1/admin/show/peers", &[], "").await.unwrap();
        reply.json()["home"].as_str().unwrap().parse().unwrap()
    }

    /// Sends the signal of this name to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Arms a failpoint, given as `<name> <kill|stop> <n>`.
    pub fn arm(&self, failpoint: &str) {
        let draft = self.failpoint.with_extension("draft");
        fs::write(&draft, failpoint).unwrap();
        fs::rename(&draft, &self.failpoint).unwrap();
    }

    /// Waits until the process is stopped by SIGSTOP.
    pub async fn stopped(&self) {
        let stat = format!("/proc/{}/stat", self.child.id());
        until("it is stopped", || async {
            let text = fs::read_to_string(&stat).ok()?;
            text.rsplit_once(") ")?.1.starts_with('T').then_some(())
        })
        .await;
    }

    /// Waits until the process exits.
    pub async fn exit(&mut self) -> ExitStatus {
        let mut waited = Duration::ZERO;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(waited < STUCK_TIMEOUT, "stuck waiting until {} has ended", self.name);
            Timer::after(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request to the entry at `http` with `key`. Returns `None` if there is no response.
pub async fn send(
    http: SocketAddr,
    key: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Reply> {
    let client = trillium_client::Client::new(ClientConfig::default());
    let url = format!("http://{http}{path}");
    let method = method.parse::<trillium_client::Method>().unwrap();
    let mut conn = client
        .build_conn(method, url.as_str())
        .with_request_header("authorization", format!("Bearer {key}"))
        .with_request_header("content-type", "application/json")
        .with_body(body.to_owned());
    for (name, value) in headers {
        conn = conn.with_request_header(name.to_string(), value.to_string());
    }
    Reply::read(conn.await.ok()?).await
}

/// An HTTP response.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub id: Option<String>,
    pub outcome: Option<String>,
}

impl Reply {
    async fn read(mut conn: Conn) -> Option<Reply> {
        let header = |name: &str| conn.response_headers().get_str(name).map(str::to_owned);
        let (id, outcome) = (header("primrosestep-id"), header("primrosestep-outcome"));
        let status = conn.status()? as u16;
        let body = conn.response_body().read_string().await.ok()?;
        Some(Reply { status, body, id, outcome })
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not JSON: {:?}", self.body))
    }
}
