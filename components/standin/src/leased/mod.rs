//! A stand-in for an executor that carries out orders under a lease, over HTTP.
//!
//! A task's specification gives its run time in milliseconds, the cores that it needs in thousandths
//! and whether it fails: `{"ms": 60, "cpu": 27000, "fail": false}`.

mod serve;
mod state;

pub use serve::{Executor, RunMonitor, StartedRun};
pub use state::{ExecutorState, Running};
