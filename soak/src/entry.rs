//! One entry: a real process, controlled by signals from outside.

use serde_json::json;
use smol::Timer;
use standin::ports;
use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Longest wait until a stopped process stands still.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);

/// Where an entry listens, and what it is told to listen and connect to.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Names the entry and its files.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where its readiness is asked for.
    pub readiness: SocketAddr,
    /// Where other entries connect.
    pub peers: SocketAddr,
    /// What it announces to other entries instead, if anything.
    pub reached_at: Option<SocketAddr>,
    /// The store.
    pub store: SocketAddr,
}

impl Setup {
    /// An entry on free ports.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub fn new(name: &str, data_centre: &str, store: SocketAddr) -> io::Result<Setup> {
        Ok(Setup {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            callers: ports::reserve()?,
            readiness: ports::reserve()?,
            peers: ports::reserve()?,
            reached_at: None,
            store,
        })
    }
}

/// A running entry. Killed when it is dropped.
#[derive(Debug)]
pub struct Entry {
    /// Where it listens.
    pub setup: Setup,
    /// Counts its processes, from 1.
    pub boot: u32,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Entry {
    /// Starts `program` with settings that are written to `folder`, where it also logs to.
    ///
    /// # Errors
    ///
    /// When a file can't be written or the program can't be run.
    pub fn start(program: &Path, folder: &Path, setup: Setup) -> io::Result<Entry> {
        let settings = folder.join(format!("{}.json", setup.name));
        let port = setup.peers.port();
        let mut content = json!({
            "name": setup.name,
            "data_centre": setup.data_centre,
            "callers": setup.callers,
            "readiness": setup.readiness,
            "ip": setup.peers.ip(),
            "ports": [port, port],
            "store": setup.store,
            "lease_most_ms": 1_000,
            "stop_most_ms": 50,
            "grace_s": 6,
        });
        if let Some(address) = setup.reached_at {
            content["reached_at"] = json!(address);
        }
        fs::write(&settings, content.to_string())?;
        let child = spawn(program, &settings)?;
        Ok(Entry { setup, boot: 1, program: program.to_owned(), settings, child })
    }

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// When it can't be signalled or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts another process in the place of one that has ended or is killed now.
    ///
    /// # Errors
    ///
    /// As [`kill`](Self::kill) and [`start`](Self::start).
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill()?;
        self.child = spawn(&self.program, &self.settings)?;
        self.boot += 1;
        Ok(())
    }

    /// Tells the process to stop.
    ///
    /// # Errors
    ///
    /// When the signal can't be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("-TERM")
    }

    /// Stops the process until [`resume`](Self::resume); returns once it stands still.
    ///
    /// # Errors
    ///
    /// When the signal can't be sent, or the process runs on.
    pub async fn pause(&self) -> io::Result<()> {
        self.signal("-STOP")?;
        let until = Instant::now() + PAUSE_LIMIT;
        while !self.is_paused()? {
            if Instant::now() > until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            Timer::after(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    /// Lets a paused process run on.
    ///
    /// # Errors
    ///
    /// When the signal can't be sent.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("-CONT")
    }

    /// Whether the process has ended, and if so whether as planned.
    ///
    /// # Errors
    ///
    /// When its state can't be asked for.
    pub fn ended(&mut self) -> io::Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }

    /// What the entry has logged until now.
    ///
    /// # Errors
    ///
    /// When the file can't be read.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(log_path(&self.settings))
    }

    fn is_paused(&self) -> io::Result<bool> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The state follows the name, which is in brackets and may hold spaces.
        Ok(stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T')))
    }

    fn signal(&self, signal: &str) -> io::Result<()> {
        let mut kill = Command::new("kill");
        kill.arg(signal).arg(self.child.id().to_string());
        match ports::spawn(&mut kill)?.wait()?.success() {
            true => Ok(()),
            false => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Fails only for a process that has ended.
        let _ = self.kill();
    }
}

fn spawn(program: &Path, settings: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log_path(settings))?;
    let mut command = Command::new(program);
    let errors = log.try_clone()?;
    // The threads of the soak are not those of an entry.
    command.env_remove("SMOL_THREADS").arg("--settings").arg(settings);
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    ports::spawn(&mut command)
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}
