//! Parses the body of a task for the stand-ins of executors and workers.

use serde::Deserialize;
use serde_json::Value;
use site::unit::Resources;
use std::time::Duration;

/// The body of a task.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Request {
    /// Run time in milliseconds; the stand-in's default if absent.
    ms: Option<u64>,
    /// Returned in the response.
    pub(crate) echo: Value,
    /// Status of the response; 200 if absent.
    pub(crate) status: Option<u16>,
    /// Resource usage that a worker reports for the task; the declared resources if absent.
    pub(crate) uses: Option<Resources>,
}

impl Request {
    /// Parses a body. An empty one is a task with defaults.
    pub(crate) fn parse(body: &str) -> serde_json::Result<Request> {
        if body.is_empty() { Ok(Request::default()) } else { serde_json::from_str(body) }
    }

    pub(crate) fn run_time(&self) -> Option<Duration> {
        self.ms.map(Duration::from_millis)
    }
}
