//! Parsing of log lines.

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::{Map, Value};

/// One parsed line of a log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Milliseconds since 1970.
    pub time_ms: u64,
    /// Name of the process that wrote it; empty if the line has none.
    pub node: CompactString,
    /// The kind of decision, or the message of a line that is not about a decision.
    pub kind: CompactString,
    /// All other fields.
    pub fields: Map<String, Value>,
}

/// A line of the decision log.
#[derive(Deserialize)]
struct DecisionLine {
    time_ms: u64,
    node: CompactString,
    decision: CompactString,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Any other line.
#[derive(Deserialize)]
struct TraceLine {
    timestamp: CompactString,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if it was not written by an entry. The part before the first brace was
    /// added by the collector of the logs; its last word is used as the process's name.
    pub fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (prefix, json) = text.split_at(start);
        if let Ok(line) = serde_json::from_str::<DecisionLine>(json) {
            let DecisionLine { time_ms, node, decision: kind, fields } = line;
            return Some(Self { time_ms, node, kind, fields });
        }
        let mut line: TraceLine = serde_json::from_str(json).ok()?;
        let message = line.fields.remove("message")?;
        Some(Self {
            time_ms: unix_ms(&line.timestamp)?,
            node: prefix.split_whitespace().next_back().unwrap_or_default().into(),
            kind: message.as_str()?.into(),
            fields: line.fields,
        })
    }

    /// Whether the line is about a job.
    pub fn concerns(&self, job: &str) -> bool {
        let is_job = |field: &str| self.text(field) == job;
        let is_run = self.text("run").strip_prefix(job).is_some_and(|rest| rest.starts_with('.'));
        let is_path = self.text("path").rsplit('/').next() == Some(job);
        is_job("job") || is_run || is_path
    }

    /// The job that the line names, if it is about a request; empty otherwise.
    pub(crate) fn job(&self) -> &str {
        match self.text("job") {
            "" => self.text("path").rsplit('/').next().unwrap_or_default(),
            job => job,
        }
    }

    /// A field's text, or an empty one.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field's number, or zero.
    pub fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }
}

/// Milliseconds since 1970 of a time such as `2026-07-03T13:13:15.015142Z`.
fn unix_ms(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':');
    let hours: i64 = time.next()?.parse().ok()?;
    let minutes: i64 = time.next()?.parse().ok()?;
    let seconds: f64 = time.next()?.parse().ok()?;
    // Days since 1970 in the civil calendar, with years that begin in March.
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    let days = era * 146_097 + day_of_era - 719_468;
    let total_minutes = (days * 24 + hours) * 60 + minutes;
    u64::try_from(total_minutes * 60_000 + (seconds * 1_000.0) as i64).ok()
}
