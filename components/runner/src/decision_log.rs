//! The log of decisions.

use parking_lot::Mutex;
use runs::{
    Decision,
    action::{Ending, KeepChange},
    message::End,
};
use serde::Serialize;
use site::unit::{Span, Time};
use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};
use telemetry::Log;

/// Limit of routine lines per second. Lines about failures are written beyond it.
const LINES_PER_SECOND: u32 = 1_000;

/// The interval that the limit applies to.
const SECOND: Span = Span::from_secs(1);

/// Writes decisions to the log and limits the rate of routine ones.
#[derive(Debug)]
pub struct DecisionLog {
    log: Log,
    node: Arc<str>,
    rate_limit: Mutex<RateLimit>,
}

#[derive(Debug, Default)]
struct RateLimit {
    since: Time,
    written: u32,
    left_out: u64,
}

#[derive(Serialize)]
struct Line<'a> {
    /// Milliseconds since 1970, by the machine's clock.
    time_ms: u64,
    node: &'a str,
    #[serde(flatten)]
    decision: &'a Decision,
}

#[derive(Serialize)]
struct LeftOut<'a> {
    time_ms: u64,
    node: &'a str,
    decision: &'static str,
    /// Routine lines over the limit in the latest second that had any.
    lines: u64,
    /// Lines dropped since the start because the writer could not keep up.
    dropped: u64,
}

impl DecisionLog {
    /// Creates a log for the process called `node`.
    pub fn new(log: Log, node: &str) -> Self {
        Self { log, node: node.into(), rate_limit: Mutex::default() }
    }

    /// Writes a decision. Never blocks.
    pub fn write(&self, now: Time, decision: &Decision) {
        if !self.admit(now, decision) {
            return;
        }
        self.log.write_json(&Line { time_ms: unix_ms(), node: &self.node, decision });
    }

    /// Lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.log.dropped()
    }

    fn admit(&self, now: Time, decision: &Decision) -> bool {
        let mut rate_limit = self.rate_limit.lock();
        if now.since(rate_limit.since) >= SECOND {
            let lines = std::mem::take(&mut rate_limit.left_out);
            if lines > 0 {
                self.log.write_json(&LeftOut {
                    time_ms: unix_ms(),
                    node: &self.node,
                    decision: "left-out",
                    lines,
                    dropped: self.log.dropped(),
                });
            }
            *rate_limit = RateLimit { since: now, ..RateLimit::default() };
        }
        if is_routine(decision) && rate_limit.written >= LINES_PER_SECOND {
            rate_limit.left_out += 1;
            return false;
        }
        rate_limit.written += 1;
        true
    }
}

/// Whether a decision is a routine one that indicates no failure.
fn is_routine(decision: &Decision) -> bool {
    match decision {
        Decision::Admit { .. }
        | Decision::Place { .. }
        | Decision::Forward { .. }
        | Decision::Start { .. }
        | Decision::Peer { .. }
        | Decision::LateRun { .. }
        | Decision::Straggling { .. } => true,
        Decision::Answer { answer, .. } => *answer == "completed",
        Decision::RunEnded { how, .. } => matches!(how, Ending::Unsent | Ending::Refused),
        // A task may be handed back many times before it starts.
        Decision::TaskEnded { end, again, .. } => *again && *end == End::NotRun,
        Decision::Keep { change, .. } => *change == KeepChange::Look,
        Decision::StartRefused { .. }
        | Decision::StopRun { .. }
        | Decision::Left { .. }
        | Decision::Health { .. }
        | Decision::Members { .. }
        | Decision::Follow { .. }
        | Decision::Cordon { .. }
        | Decision::Speed { .. }
        | Decision::Paused { .. } => false,
    }
}

/// Milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    // A clock before 1970 is written as zero, so that logging continues.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
