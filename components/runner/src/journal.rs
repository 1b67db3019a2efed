//! The log of decisions.

use parking_lot::Mutex;
use runs::{
    Decision,
    action::{Ending, KeepChange},
};
use serde::Serialize;
use site::unit::{Span, Time};
use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};
use telemetry::Log;

/// Usual lines a second that are written. What tells of a failure is written beyond it.
const LINES_PER_SECOND: u32 = 1_000;

/// The span that the limit counts for.
const SECOND: Span = Span::from_secs(1);

/// Writes decisions to the log, at most so many usual ones a second.
#[derive(Debug)]
pub struct Journal {
    log: Log,
    node: Arc<str>,
    budget: Mutex<Budget>,
}

#[derive(Debug, Default)]
struct Budget {
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
    /// Usual lines that went over the limit in the latest second with any.
    lines: u64,
    /// Lines that the writer could not keep up with, since the start.
    dropped: u64,
}

impl Journal {
    /// A journal of the process called `node`.
    pub fn new(log: Log, node: &str) -> Self {
        Self { log, node: node.into(), budget: Mutex::default() }
    }

    /// Writes a decision. Never waits.
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
        let mut budget = self.budget.lock();
        if now.since(budget.since) >= SECOND {
            let lines = std::mem::take(&mut budget.left_out);
            if lines > 0 {
                self.log.write_json(&LeftOut {
                    time_ms: unix_ms(),
                    node: &self.node,
                    decision: "left-out",
                    lines,
                    dropped: self.log.dropped(),
                });
            }
            *budget = Budget { since: now, ..Budget::default() };
        }
        if is_usual(decision) && budget.written >= LINES_PER_SECOND {
            budget.left_out += 1;
            return false;
        }
        budget.written += 1;
        true
    }
}

/// Whether a decision is one of many that tell of nothing wrong.
fn is_usual(decision: &Decision) -> bool {
    match decision {
        Decision::Admit { .. } | Decision::Place { .. } | Decision::Start { .. } => true,
        Decision::Answer { answer, .. } => *answer == "completed",
        Decision::RunEnded { how, .. } => *how == Ending::Missing,
        Decision::Keep { change, .. } => *change == KeepChange::Look,
        Decision::StartRefused { .. }
        | Decision::StopRun { .. }
        | Decision::TaskEnded { .. }
        | Decision::Left { .. }
        | Decision::Health { .. }
        | Decision::Members { .. }
        | Decision::Follow { .. }
        | Decision::Cordon { .. }
        | Decision::Paused { .. } => false,
    }
}

/// Milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    // A clock before 1970 is told by the zero; the log goes on.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
