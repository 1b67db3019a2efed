//! Child processes of the measurement, which run this program in another role.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

/// Length of the system's clock ticks in `/proc`, in milliseconds; 100 a second on Linux.
const CLOCK_TICK_MILLIS: u64 = 10;

/// A running process. It ends when its standard input is closed, at the latest on drop.
pub(crate) struct Process {
    child: Child,
    /// Addresses on which the process listens.
    pub(crate) addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts this program with other arguments and waits until it listens.
    pub(crate) fn spawn(arguments: &[&str]) -> Process {
        let program = std::env::current_exe().expect("the program has a path");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program can be started again");
        let mut line = String::new();
        let output = child.stdout.take().expect("its output is piped");
        BufReader::new(output).read_line(&mut line).expect("it prints one line");
        let addresses = serde_json::from_str(&line).expect("the line holds its addresses");
        Process { child, addresses }
    }

    /// Returns the first address on which the process listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Returns the resident memory in KiB.
    pub(crate) fn memory(&self) -> u64 {
        let status = self.file("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        number.expect("the kernel reports resident memory")
    }

    /// Returns the processor time used so far.
    pub(crate) fn cpu(&self) -> Duration {
        let stat = self.file("stat");
        let rest = stat.rsplit_once(')').expect("the name is in brackets").1;
        let ticks = rest.split_whitespace().skip(11).take(2).map(|n| n.parse::<u64>().unwrap_or(0));
        Duration::from_millis(ticks.sum::<u64>() * CLOCK_TICK_MILLIS)
    }

    fn file(&self, name: &str) -> String {
        fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).expect("it still runs")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        // Nothing is left to do if the wait fails.
        let _ = self.child.wait();
    }
}
