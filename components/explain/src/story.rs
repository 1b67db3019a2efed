//! All that logs say of one job.

use crate::{Cause, Line};
use compact_str::CompactString;
use std::fmt;

/// All that logs say of one job.
#[derive(Clone, Debug)]
pub struct Story {
    job: CompactString,
    /// The request of the job that is asked about; the latest one if none.
    request: Option<CompactString>,
    /// Lines about the job.
    lines: Vec<Line>,
    /// Lines about the start, the stop or a pause of processes, and about which executors they
    /// keep.
    around: Vec<Line>,
}

impl Story {
    /// A story without lines.
    pub fn new(job: &str) -> Self {
        Self { job: job.into(), request: None, lines: Vec::new(), around: Vec::new() }
    }

    /// The story of a job by its name, or by the id of a request that handed it in.
    pub fn find(id: &str, log: &str) -> Self {
        let by_request = log
            .lines()
            .filter(|text| text.contains(id))
            .filter_map(Line::parse)
            .find(|line| line.text("request") == id);
        let mut story = match by_request {
            Some(line) => Self { request: Some(id.into()), ..Self::new(line.job()) },
            None => Self::new(id),
        };
        log.lines().for_each(|text| story.add(text));
        story
    }

    /// Takes in a line of a log.
    pub fn add(&mut self, text: &str) {
        let Some(line) = Line::parse(text) else { return };
        if line.concerns(&self.job) {
            self.lines.push(line);
        } else if matches!(line.what.as_str(), "starting" | "stopping" | "paused" | "keep") {
            self.around.push(line);
        }
    }

    /// The lines about the job, in order of time.
    pub fn lines(&self) -> Vec<&Line> {
        let mut lines: Vec<_> = self.lines.iter().collect();
        lines.sort_by_key(|line| line.time_ms);
        lines
    }

    /// The lines that tell how the request came in and was answered.
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

    /// The first line of a kind about a process or an executor, at or after a moment.
    pub(crate) fn next_around(&self, what: &str, name: &str, from_ms: u64) -> Option<&Line> {
        self.around
            .iter()
            .filter(|line| line.what == what && line.time_ms >= from_ms)
            .filter(|line| line.node == name || line.text("name") == name)
            .min_by_key(|line| line.time_ms)
    }

    /// The latest line about an executor's keeping, at or before a moment.
    pub(crate) fn keep_before(&self, executor: &str, until_ms: u64) -> Option<&Line> {
        self.around
            .iter()
            .filter(|line| line.what == "keep" && line.time_ms <= until_ms)
            .filter(|line| line.text("executor") == executor)
            .max_by_key(|line| line.time_ms)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.time_ms, self.node, self.what)?;
        for (name, value) in &self.fields {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}
