//! Starts an entry as a process of its own and controls it by signals.

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

/// Longest wait until a process that got SIGSTOP is stopped.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Names and addresses that an entry's settings are made from.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of the entry; its settings and log files are named after it.
    pub name: String,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Address that it announces to other entries instead of `peers`; `None` announces `peers`.
    pub reached_at: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
}

impl Setup {
    /// Returns the setup of an entry on free ports.
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
    /// Its names and addresses.
    pub setup: Setup,
    /// Number of its current process, counted from 1; each restart increments it.
    pub boot: u32,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Entry {
    /// Starts `program` with settings that it writes to `folder`; the log is written there too.
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

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// When it can't be signalled or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Kills the process if it still runs, and starts another one with the same settings.
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

    /// Asks the process to stop, with SIGTERM.
    ///
    /// # Errors
    ///
    /// When the signal can't be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal("-TERM")
    }

    /// Suspends the process with SIGSTOP until [`resume`](Self::resume); returns once it is
    /// stopped.
    ///
    /// # Errors
    ///
    /// When the signal can't be sent, or the process is still running after the timeout.
    pub async fn pause(&self) -> io::Result<()> {
        self.signal("-STOP")?;
        let until = Instant::now() + PAUSE_TIMEOUT;
        while !self.is_paused()? {
            if Instant::now() > until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            Timer::after(Duration::from_millis(1)).await;
        }
        Ok(())
    }

    /// Continues a paused process, with SIGCONT.
    ///
    /// # Errors
    ///
    /// When the signal can't be sent.
    pub fn resume(&self) -> io::Result<()> {
        self.signal("-CONT")
    }

    /// Returns whether the process exited with success; `None` while it runs.
    ///
    /// # Errors
    ///
    /// When its state can't be read.
    pub fn ended(&mut self) -> io::Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }

    /// Returns what all processes of the entry have logged so far.
    ///
    /// # Errors
    ///
    /// When the file can't be read.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(log_path(&self.settings))
    }

    fn is_paused(&self) -> io::Result<bool> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The state follows the process name, which is in brackets and may contain spaces.
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
        // Fails only for a process that has ended already.
        let _ = self.kill();
    }
}

fn spawn(program: &Path, settings: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log_path(settings))?;
    let mut command = Command::new(program);
    let errors = log.try_clone()?;
    // A thread count that is set for the soak must not apply to the entry.
    command.env_remove("SMOL_THREADS").arg("--settings").arg(settings);
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    ports::spawn(&mut command)
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_extension("log")
}
