//! Explains from the logs of entries how a job ended.
//!
//! [`History`] accepts log lines in any order and keeps those that concern one job;
//! [`History::cause`] says why the job ended as it did.

mod cause;
mod history;
mod line;

pub use cause::Cause;
pub use history::History;
pub use line::Line;
