//! A small deployment on loopback addresses: the store, executors and nodes as separate processes.

use crate::{
    executor::{self, Setup},
    http::{Channel, Outcome},
    record::Record,
    store::Store,
};
use std::{
    env, fs,
    fs::File,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/pule252/";
pub const SERVICE: &str = "huvo11a";
const PROGRAM: &str = "target/release/primrosestep-node";

/// One node of the system.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    peers: u16,
    store: SocketAddr,
    child: Option<Child>,
    folder: PathBuf,
}

/// A deployment. Dropping it ends its processes.
pub struct Site {
    pub nodes: Vec<Node>,
    pub store: Store,
    folder: PathBuf,
}

/// A queue of the operator's configuration, apart from what all of a case have.
pub struct Queue {
    pub timeout_ms: u64,
    pub target_duration_ms: u64,
    pub max_attempts: u64,
}

pub fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind(loopback(0))?.local_addr()?.port())
}

fn free_udp_port() -> io::Result<u16> {
    Ok(UdpSocket::bind(loopback(0))?.local_addr()?.port())
}

impl Site {
    /// Starts one node in each zone of `zones` and, in each of them, executors on these racks.
    pub fn start(
        zones: &[&str],
        racks: &[&str],
        queue: &Queue,
        record: &Record,
    ) -> io::Result<Site> {
        let folder = env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(loopback(0))?;
        let mut site = Site { nodes: Vec::new(), store, folder };
        site.configure(1, queue);
        for zone in zones {
            for rack in racks {
                let name = format!("i-{zone}-{rack}-{}", unique());
                let setup = Setup { name: &name, service: SERVICE, zone, rack };
                executor::start(&setup, loopback(0), &site.store, record)?;
            }
        }
        for (number, zone) in zones.iter().enumerate() {
            let mut node = Node {
                name: format!("front-{zone}-{}", number + 1),
                zone: (*zone).to_owned(),
                callers: loopback(free_port()?),
                readiness: loopback(free_port()?),
                peers: free_udp_port()?,
                store: site.store.address,
                child: None,
                folder: site.folder.clone(),
            };
            node.start()?;
            site.nodes.push(node);
        }
        Ok(site)
    }

    /// The operator writes a configuration.
    pub fn configure(&self, version: u64, queue: &Queue) {
        let Queue { timeout_ms, target_duration_ms, max_attempts } = queue;
        let document = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-9n73hh2\",\"host\":\"{HOST}\",\
             \"prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\
             \"target_duration_ms\":{target_duration_ms},\"priority\":1,\"service\":\"{SERVICE}\",\
             \"max_attempts\":{max_attempts},\"stretch\":1.6}}],\"services\":[{{\"name\":\
             \"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\
             \"tls\":false,\"enforces_capacity\":true,\"spare\":false}}],\"limits\":{{\
             \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}"
        );
        self.store.put("op/config", &document);
    }

    /// Waits until all nodes are ready, and a little longer, so that each executor has a keeper.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(4));
        true
    }

    pub fn is_known(&self) -> bool {
        self.store.keys("primrosestep/entries/") == self.nodes.len()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.json", self.name));
        let text = format!(
            "{{\"name\":\"{}\",\"data_centre\":\"{}\",\"callers\":\"{}\",\"readiness\":\"{}\",\
             \"ip\":\"127.0.0.1\",\"ports\":[{},{}],\"processor_share\":0.25,\"store\":\"{}\",\
             \"lease_most_ms\":1000,\"stop_most_ms\":50,\"grace_s\":6}}",
            self.name, self.zone, self.callers, self.readiness, self.peers, self.peers, self.store
        );
        fs::write(&settings, text)?;
        let log = File::create(self.folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(Path::new(PROGRAM))
            .env("PRIMROSESTEP_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.readiness) else { return false };
        let sent = channel.send("GET", "/-/readiness", HOST, 1_000, "");
        let answer = channel.receive(Instant::now() + Duration::from_secs(1));
        sent.is_ok() && matches!(answer, Outcome::Answered(200, ..))
    }

    /// Sends a signal by name, as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let order = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &order]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A number that no other executor of this process has.
fn unique() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
