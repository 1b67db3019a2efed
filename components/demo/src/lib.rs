//! Demonstration: two data centres in one process with entries on real sockets and stand-ins for
//! the platform and the executors, and a run of jobs on them.

mod deployment;
mod ideal;
mod run;
mod settings;

pub use deployment::{Deployment, Error, Options};
pub use ideal::makespan;
pub use run::{Refusal, Summary, run};
