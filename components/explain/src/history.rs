//! The log lines about one job.

use crate::{Cause, Line, cause::millis};
use compact_str::CompactString;
use std::fmt;

/// The log lines about one job.
#[derive(Clone, Debug)]
pub struct History {
    job: CompactString,
    /// The id of the request in question; `None` for the latest request of the job.
    request: Option<CompactString>,
    /// Lines about the job.
    lines: Vec<Line>,
    /// Lines about processes that start, stop or pause, about the executors that entries keep, and
    /// about stragglers of other jobs.
    process_lines: Vec<Line>,
}

impl History {
    /// Creates a history without lines.
    pub fn new(job: &str) -> Self {
        Self { job: job.into(), request: None, lines: Vec::new(), process_lines: Vec::new() }
    }

    /// Finds the lines of a job by its name, or by the id of one of its requests.
    pub fn find(id: &str, log: &str) -> Self {
        let by_request = log
            .lines()
            .filter(|text| text.contains(id))
            .filter_map(Line::parse)
            .find(|line| line.text("request") == id);
        let mut history = match by_request {
            Some(line) => Self { request: Some(id.into()), ..Self::new(line.job()) },
            None => Self::new(id),
        };
        log.lines().for_each(|text| history.add(text));
        history
    }

    /// Adds a log line if it concerns the job or a process.
    pub fn add(&mut self, text: &str) {
        let Some(line) = Line::parse(text) else { return };
        if line.concerns(&self.job) {
            self.lines.push(line);
        } else if is_context(&line) {
            self.process_lines.push(line);
        }
    }

    /// The lines about the job, ordered by time.
    pub fn lines(&self) -> Vec<&Line> {
        let mut lines: Vec<_> = self.lines.iter().collect();
        lines.sort_by_key(|line| line.time_ms);
        lines
    }

    /// The lines about the arrival and the answer of the request.
    pub(crate) fn of_request(&self) -> Vec<&Line> {
        let matches = |line: &&Line| match &self.request {
            Some(request) => line.text("request") == request,
            None => true,
        };
        self.lines().into_iter().filter(matches).collect()
    }

    /// Why the request ended as it did.
    pub fn cause(&self) -> Cause {
        Cause::of(self)
    }

    /// The first line of a kind about a process or an executor, at or after a time.
    pub(crate) fn next_process_line(&self, kind: &str, name: &str, from_ms: u64) -> Option<&Line> {
        self.process_lines
            .iter()
            .filter(|line| line.kind == kind && line.time_ms >= from_ms)
            .filter(|line| line.node == name || line.text("name") == name)
            .min_by_key(|line| line.time_ms)
    }

    /// The latest line about the keeping of an executor, at or before a time.
    pub(crate) fn keep_before(&self, executor: &str, until_ms: u64) -> Option<&Line> {
        self.process_lines
            .iter()
            .filter(|line| line.kind == "keep" && line.time_ms <= until_ms)
            .filter(|line| line.text("executor") == executor)
            .max_by_key(|line| line.time_ms)
    }
}

impl History {
    /// The line about the first takeover of an executor from a lost entry after one
    /// time and until another.
    pub(crate) fn takeover_of(&self, executor: &str, from_ms: u64, to_ms: u64) -> Option<&Line> {
        self.takeovers()
            .filter(|line| line.text("executor") == executor)
            .filter(|line| line.time_ms > from_ms && line.time_ms <= to_ms)
            .min_by_key(|line| line.time_ms)
    }

    /// Number of executors of lost entries that were not in use again at a time.
    pub(crate) fn unkept_at(&self, at_ms: u64) -> usize {
        let began_ms = |line: &Line| line.time_ms as f64 - millis(line.text("unkept"));
        self.takeovers()
            .filter(|line| line.time_ms >= at_ms && began_ms(line) <= at_ms as f64)
            .count()
    }

    /// Number of runs of other jobs that were stopped as far too long in a time.
    pub(crate) fn stragglers_between(&self, from_ms: u64, to_ms: u64) -> usize {
        let stops = self.process_lines.iter().filter(|line| line.kind == "stop-run");
        stops.filter(|line| line.time_ms >= from_ms && line.time_ms <= to_ms).count()
    }

    /// Lines about executors that are in use after their keeper was lost.
    fn takeovers(&self) -> impl Iterator<Item = &Line> {
        let keeps = self.process_lines.iter().filter(|line| line.kind == "keep");
        keeps.filter(|line| !line.text("unkept").is_empty())
    }
}

/// Whether a line about something else than the job may tell why the job ended as it did.
fn is_context(line: &Line) -> bool {
    match line.kind.as_str() {
        "starting" | "stopping" | "paused" | "keep" => true,
        "stop-run" => matches!(line.text("why"), "overdue" | "straggling"),
        _ => false,
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.time_ms, self.node, self.kind)?;
        for (name, value) in &self.fields {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}
