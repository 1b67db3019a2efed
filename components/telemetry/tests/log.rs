//! The log never blocks its callers, counts dropped lines and shows names for identifiers.

use dispatch::Decision;
use serde_json::Value;
use site::{
    Firm, Site,
    id::{FirmId, Home, SubmissionId},
    unit::Time,
};
use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};
use telemetry::{Exporter, Level, Names};

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Buffer {
    fn lines(&self) -> Vec<Value> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that blocks until its sender is dropped.
struct Blocked(mpsc::Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn forward() -> Decision {
    Decision::Forward { id: SubmissionId::default(), to: Home::default() }
}

#[test]
fn decision_lines_show_names() {
    let buffer = Buffer::default();
    let (log, guard) = telemetry::start(buffer.clone(), Level::Info).unwrap();
    let firm = FirmId::of("masons");
    let mut site = Site::default();
    let member: Firm = serde_json::from_str(r#"{"name": "masons"}"#).unwrap();
    site.firms.insert(firm, member);
    log.set_names(Names::of(&site));
    let failure = site::submission::Failure {
        outcome: site::submission::Outcome::NotRun,
        reason: site::submission::Reason::Quota,
        retry_after: None,
    };
    log.log_decision(Time(7), Decision::Refuse { id: SubmissionId::default(), firm, failure });
    drop(guard);
    let lines = buffer.lines();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["target"], "decision");
    assert_eq!(lines[0]["fields"]["decision"], "refuse");
    assert_eq!(lines[0]["fields"]["firm"], "masons");
    assert_eq!(lines[0]["fields"]["at"], 7);
    let id = lines[0]["fields"]["id"].as_str().unwrap();
    assert_eq!(id.parse::<SubmissionId>().unwrap(), SubmissionId::default());
}

#[test]
fn events_below_the_level_are_not_written() {
    let buffer = Buffer::default();
    let (log, guard) = telemetry::start(buffer.clone(), Level::Warn).unwrap();
    tracing::subscriber::with_default(log.subscriber(), || {
        tracing::info!("not written");
        tracing::warn!(code = 3, "written");
    });
    log.log_decision(Time(1), forward());
    drop(guard);
    let lines = buffer.lines();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["fields"]["code"], 3);
}

#[test]
fn lines_are_dropped_and_counted_while_the_output_blocks() {
    let (unblock, blocked) = mpsc::channel();
    let (log, guard) = telemetry::start(Blocked(blocked), Level::Info).unwrap();
    let sent = 100_000;
    for _ in 0..sent {
        log.log_decision(Time(1), forward());
    }
    assert!(log.dropped() > 0);
    assert!(log.dropped() < sent);
    drop(unblock);
    drop(guard);
}

#[test]
fn metrics_are_rendered_as_text() {
    let exporter = Exporter::new().unwrap();
    exporter.meter().u64_counter("starts").build().add(2, &[]);
    let text = exporter.render().unwrap();
    assert!(text.lines().any(|l| l.starts_with("primrosestep_starts_total") && l.ends_with(" 2")));
}
