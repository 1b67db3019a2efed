//! Logs and metrics of a process.
//!
//! Log lines are JSON objects, one per line. Callers never wait for the output: lines go through a
//! bounded channel to a writer thread, and lines that don't fit are dropped and counted. Metrics
//! are collected by OpenTelemetry and rendered in the Prometheus text format.

mod exporter;
mod line;
mod log;
mod names;

pub use exporter::{Exporter, MetricsError};
pub use log::{Format, Guard, Level, Log, LogError, start, start_with_capacity};
pub use names::Names;
