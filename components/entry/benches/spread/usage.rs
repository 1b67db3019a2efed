//! Distribution times, and traffic and calls used.

use crate::deployment::Deployment;
use std::time::{Duration, Instant};

/// Time until a change was in force at all entries, from two starting points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spread {
    /// From the start of the call that accepts the change.
    pub(crate) called: Duration,
    /// From the response to that call.
    pub(crate) answered: Duration,
}

/// Prints the median, the 99th percentile and the maximum.
pub(crate) fn print(what: &str, times: &[Spread]) {
    let line = |from: &str, time: fn(&Spread) -> Duration| {
        let mut times: Vec<Duration> = times.iter().map(time).collect();
        times.sort_unstable();
        let at = |share: usize| milliseconds(times[(times.len() - 1) * share / 100]);
        let (p50, p99, max) = (at(50), at(99), at(100));
        println!("  {what}, {from}: p50 {p50:.1} ms, p99 {p99:.1} ms, max {max:.1} ms");
    };
    line("from the call", |spread| spread.called);
    line("from its answer", |spread| spread.answered);
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Resources that all entries together have used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    at: Instant,
    time: Duration,
    entries: usize,
    /// Bytes of frames received.
    frames: u64,
    /// Bytes of UDP payload received.
    datagrams: u64,
    /// Maximum bytes of frames sent by a single entry.
    max_sent: u64,
    reads: u64,
    writes: u64,
}

impl Usage {
    /// Returns the usage since the start.
    pub(crate) fn now(deployment: &Deployment) -> Usage {
        let traffic: Vec<_> = deployment.entries.iter().map(|entry| entry.traffic()).collect();
        let calls = deployment.platform.calls();
        Usage {
            at: Instant::now(),
            time: Duration::ZERO,
            entries: traffic.len(),
            frames: traffic.iter().map(|traffic| traffic.bytes_in).sum(),
            datagrams: traffic.iter().map(|traffic| traffic.datagram_bytes_in).sum(),
            max_sent: traffic.iter().map(|traffic| traffic.bytes_out).max().unwrap_or(0),
            reads: calls.reads,
            writes: calls.writes,
        }
    }

    /// Returns the usage since an earlier measurement.
    pub(crate) fn since(&self, before: &Usage) -> Usage {
        Usage {
            at: self.at,
            time: self.at - before.at,
            entries: self.entries,
            frames: self.frames - before.frames,
            datagrams: self.datagrams - before.datagrams,
            max_sent: self.max_sent.saturating_sub(before.max_sent),
            reads: self.reads - before.reads,
            writes: self.writes - before.writes,
        }
    }

    /// Prints the cost of each change beyond the idle cost.
    pub(crate) fn print(&self, idle: &Usage, changes: usize) {
        let part = self.time.as_secs_f64() / idle.time.as_secs_f64();
        let extra = |now: u64, idle: u64| (now as f64 - idle as f64 * part) / changes as f64;
        let entries = self.entries as f64;
        println!(
            "  each change, to an entry: {:.0} bytes of frames, {:.0} bytes of UDP",
            extra(self.frames, idle.frames) / entries,
            extra(self.datagrams, idle.datagrams) / entries,
        );
        println!(
            "  each change, by the entry that sent most: {:.0} bytes of frames",
            extra(self.max_sent, idle.max_sent),
        );
        println!(
            "  each change, calls to the platform with the operator's 3: {:.2} reads, {:.2} \
             transactions and writes",
            extra(self.reads, idle.reads),
            extra(self.writes, idle.writes),
        );
    }
}
