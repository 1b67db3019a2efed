//! The rate limit of the decision log.

use parking_lot::Mutex;
use runner::DecisionLog;
use runs::{Decision, message::End};
use site::unit::Time;
use std::{
    io::{self, Write},
    sync::Arc,
};
use telemetry::Level;

/// Upper limit of routine lines that the log writes within a second.
const ROUTINE_LINES: usize = 1_000;

/// Collects what the log's writer thread writes.
#[derive(Clone, Debug, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes decisions of the same moment; returns the lines of the log.
fn lines(decisions: impl IntoIterator<Item = Decision>) -> Vec<String> {
    let output = Output::default();
    let (log, guard) = telemetry::start(output.clone(), Level::Info).expect("a writer thread");
    let decision_log = DecisionLog::new(log, "entry-0");
    for decision in decisions {
        decision_log.write(Time(5_000_000), &decision);
    }
    // Waits until everything is written.
    drop(guard);
    let text = String::from_utf8(output.0.lock().clone()).expect("text");
    text.lines().map(str::to_owned).collect()
}

fn task_ended(run: u32, end: End, again: bool) -> Decision {
    Decision::TaskEnded {
        job: "18017331bc4c9162".into(),
        index: 0,
        run,
        end,
        failures: 0,
        crashes: 0,
        otherwise_lost: 0,
        again,
    }
}

fn count(lines: &[String], text: &str) -> usize {
    lines.iter().filter(|line| line.contains(text)).count()
}

/// A task that is handed back again and again must not displace the lines about failures.
#[test]
fn repeated_ends_of_runs_that_never_started_are_limited() {
    let not_run = (1..=3_000).map(|run| task_ended(run, End::NotRun, true));
    let lines = lines(not_run);
    let written = count(&lines, r#""end":"not-run""#);
    assert!(written <= ROUTINE_LINES, "{written} lines about runs that never started");
}

#[test]
fn ends_that_count_or_that_no_run_follows_are_always_written() {
    let not_run = (1..=3_000).map(|run| task_ended(run, End::NotRun, true));
    let failed = (1..=20).map(|run| task_ended(run, End::Failed, true));
    let last = task_ended(3_001, End::NotRun, false);
    let lines = lines(not_run.chain(failed).chain([last]));
    assert_eq!(count(&lines, r#""end":"failed""#), 20);
    assert_eq!(count(&lines, r#""again":false"#), 1);
}
