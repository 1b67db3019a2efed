//! Starts the processes of a small deployment with the command of the deploy file.

use crate::{http::Connection, json::quote, record::Record};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/primrosestep-node";

/// The template of its settings.
const TEMPLATE: &str = "deploy/settings.json";

/// The variable with the path of the settings.
const SETTINGS_VARIABLE: &str = "PRIMROSESTEP_SETTINGS";

/// Descriptors that a process may use (`file_descriptors` in DEPLOY.md and on the sheet of
/// `kovacik-sablony`).
pub const DESCRIPTORS: u32 = 4_100;

/// How long processes may take until they are ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("primrosestep-case-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process of the system. Killed when it is dropped.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts a process on free loopback ports.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> io::Result<Node> {
        let (callers, ready) = (free_tcp()?, free_tcp()?);
        let port = UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port();
        let values = [
            ("node_name", quote(name)),
            ("zone", quote(zone)),
            ("listen.front", quote(&callers.to_string())),
            ("listen.ready", quote(&ready.to_string())),
            ("ip", quote("127.0.0.1")),
            ("internal_ports", format!("[{port},{port}]")),
            ("limits.cpu_share", "0.25".to_owned()),
            ("platform.address", quote(&store.to_string())),
            ("bounds.hold_max_ms", "1000".to_owned()),
            ("bounds.stop_ms", "50".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
        ];
        let fill = |text: String, (key, value): &(&str, String)| {
            text.replace(&format!("{{{{{key}|json}}}}"), value)
        };
        let settings = values.iter().fold(fs::read_to_string(TEMPLATE)?, fill);
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        // The shell sets the limit and is replaced by the program.
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {DESCRIPTORS} && exec {PROGRAM}"))
            .env(SETTINGS_VARIABLE, &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Node { name: name.to_owned(), callers, ready, child })
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let probe = Connection::open(self.ready)
            .and_then(|mut probe| probe.call("GET", "/-/readiness", &[("Host", "x")], "", limit));
        probe.is_ok_and(|(status, _)| status == 200)
    }

    /// Its open descriptors and the processor time that it has used.
    pub fn usage(&self) -> String {
        let id = self.child.id();
        let open = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // Fields 14 and 15, counted from 1; the second one is the name in brackets.
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
        let ticks = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        format!(
            "{} has {open} descriptors open and has used {} ms of a core",
            self.name,
            ticks * 10
        )
    }

    /// Sends the process a signal by its id.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status()?;
        if status.success() { Ok(()) } else { Err(io::ErrorKind::NotFound.into()) }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all processes are ready.
pub fn wait_until_ready(nodes: &[Node], record: &Record) -> io::Result<()> {
    let until = Instant::now() + READY_LIMIT;
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > until {
            return Err(io::Error::other("the processes were not ready in time"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(format!("{} processes are ready", nodes.len()));
    Ok(())
}

fn free_tcp() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
