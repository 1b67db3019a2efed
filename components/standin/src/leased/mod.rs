//! A stand-in for an executor that carries out orders under a lease, over HTTP.
//!
//! A task's specification gives its run time in milliseconds, the cores that it needs in thousandths
//! and whether it fails: `{"ms": 60, "cpu": 27000, "fail": false}`.

mod loss;
mod monitor;
mod serve;
mod state;

pub use loss::Loss;
pub use monitor::{RunMonitor, StartedRun};
pub use serve::Executor;
pub use state::{ExecutorState, Running};
