//! Logs and metrics of a process.
//!
//! Log lines are JSON objects, one a line. Callers never wait for the output: lines go through a
//! bounded channel to a writer thread, and what does not fit is dropped and counted. Metrics are
//! collected by opentelemetry and rendered as Prometheus text.

mod exporter;
mod line;
mod log;
mod names;

pub use exporter::{Exporter, MetricsError};
pub use log::{Format, Guard, Level, Log, LogError, start, start_bounded};
pub use names::Names;
