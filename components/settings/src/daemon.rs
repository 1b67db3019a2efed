//! Settings of one entry daemon, in a JSON file of its own.

use crate::{
    de::object,
    folder::read_file,
    limit::MAX_FILE_BYTES,
    location::Path,
    report::{Findings, Reason, Report},
    source::Sources,
    tree,
};
use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use site::unit::{Memory, Span};
use std::{collections::BTreeMap, net::SocketAddr, num::NonZeroUsize, path::PathBuf};

/// Fields without a default.
const REQUIRED: [&str; 6] = ["name", "data-centre", "http", "quic", "platform", "tls"];

/// Settings of an entry's daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Daemon {
    /// Name of the entry, unique in the site.
    pub name: CompactString,
    /// Name of the data centre that the entry is in.
    pub data_centre: CompactString,
    /// Name of the rack that hosts the VM; empty if unknown.
    #[serde(default)]
    pub rack: CompactString,
    /// Address where it accepts HTTP/1.1 from callers and operators.
    pub http: SocketAddr,
    /// Address where it accepts QUIC from other entries.
    pub quic: SocketAddr,
    /// Addresses of the platform's key-value service, tried in order; at least one.
    pub platform: Vec<SocketAddr>,
    /// QUIC addresses, by name, of entries to connect to while the platform's service is
    /// unavailable.
    #[serde(default)]
    pub seeds: BTreeMap<CompactString, SocketAddr>,
    /// Folder of settings to start with, for starts while the platform's service is unavailable.
    /// Newer settings from the platform or other entries replace them.
    #[serde(default)]
    pub settings: Option<PathBuf>,
    /// TLS key and certificates for the traffic between entries.
    pub tls: Tls,
    /// Limits on requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Level and format of log lines.
    #[serde(default)]
    pub log: Log,
    /// Numbers of threads and shards.
    #[serde(default)]
    pub threads: Threads,
}

/// PEM files for mutual TLS between entries. Paths are relative to the working directory.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tls {
    /// The entry's private key.
    pub key: PathBuf,
    /// The entry's certificate.
    pub certificate: PathBuf,
    /// The authority that signs the certificates of all entries.
    pub authority: PathBuf,
}

/// Limits on the requests and connections of a daemon.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of the body of a caller's request; services may allow less.
    pub body: Memory,
    /// Maximum number of callers that wait for answers at one time.
    pub waiters: u32,
    /// Maximum number of open connections from callers.
    pub connections: u32,
    /// Maximum time that a planned stop waits for requests in progress.
    pub drain: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body: Memory(16 << 20),
            waiters: 100_000,
            connections: 10_000,
            drain: Span::from_secs(30),
        }
    }
}

/// Minimum severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Level {
    /// Errors.
    Error,
    /// Warnings.
    Warn,
    /// Decisions of routing and placement.
    #[default]
    Info,
    /// Messages between processes.
    Debug,
    /// All lines.
    Trace,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text.
    Text,
}

/// Level and format of log lines.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Log {
    /// Minimum severity of the lines that are written.
    pub level: Level,
    /// Format of the lines.
    pub format: Format,
}

/// Numbers of threads and shards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct Threads {
    /// Number of threads of the async runtime that serves sockets.
    pub workers: NonZeroUsize,
    /// Number of shards of the state, each under its own lock.
    pub shards: NonZeroUsize,
}

impl Default for Threads {
    fn default() -> Self {
        let count = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        Threads { workers: count(2), shards: count(8) }
    }
}

impl Daemon {
    /// Reads and checks the settings in the file `path`.
    ///
    /// # Errors
    ///
    /// A report of every error in the file.
    pub fn load(path: &std::path::Path) -> Result<Daemon, Report> {
        let name = CompactString::from(path.to_string_lossy());
        match read_file(path) {
            Ok(text) => Daemon::parse(name, text.into()),
            Err(reason) => Err(report_of(name, reason)),
        }
    }

    /// Parses and checks the settings in `text`, which the report calls `name`.
    ///
    /// # Errors
    ///
    /// A report of every error in the text.
    pub fn parse(name: CompactString, text: Bytes) -> Result<Daemon, Report> {
        if text.len() > MAX_FILE_BYTES {
            return Err(report_of(name, Reason::LargeFile { bytes: text.len() }));
        }
        let mut sources = Sources::default();
        let mut findings = Findings::default();
        let start = sources.push(name, text.clone());
        let tree = tree::read(&text, start, &mut findings);
        let daemon: Option<Daemon> =
            tree.as_ref().and_then(|tree| object(tree, &Path::default(), &REQUIRED, &mut findings));
        if let Some((tree, daemon)) = tree.as_ref().zip(daemon.as_ref()) {
            check(daemon, tree, &mut findings);
        }
        let report = findings.report(&sources);
        daemon.filter(|_| report.findings.is_empty()).ok_or(report)
    }
}

fn check(daemon: &Daemon, tree: &tree::Node, findings: &mut Findings) {
    let mut require = |holds: bool, keys: &[&str], reason: Reason| {
        if !holds {
            let path = Path(keys.iter().copied().map(CompactString::from).collect());
            let origin = tree.get(&path.0).map_or(tree.at, |node| node.at);
            findings.error(origin, path, reason);
        }
    };
    let name = |name: &CompactString| Reason::Name { name: name.clone() };
    let valid = crate::range::is_name;
    require(valid(&daemon.name), &["name"], name(&daemon.name));
    require(valid(&daemon.data_centre), &["data-centre"], name(&daemon.data_centre));
    let rack = daemon.rack.is_empty() || valid(&daemon.rack);
    require(rack, &["rack"], name(&daemon.rack));
    require(!daemon.platform.is_empty(), &["platform"], Reason::Empty);
    require(daemon.limits.body != Memory(0), &["limits", "body"], Reason::Zero);
    require(daemon.limits.waiters != 0, &["limits", "waiters"], Reason::Zero);
    require(daemon.limits.connections != 0, &["limits", "connections"], Reason::Zero);
}

fn report_of(name: CompactString, reason: Reason) -> Report {
    let mut sources = Sources::default();
    let mut findings = Findings::default();
    let origin = sources.push(name, Bytes::new());
    findings.error(origin, Path::default(), reason);
    findings.report(&sources)
}
