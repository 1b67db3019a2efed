//! Health of endpoints: outlier detection that decides from the outcomes of attempts which
//! endpoints take new work.
//!
//! Nothing here reads a clock; the caller passes the time and drives the timers.

mod base;
mod cause;
mod evidence;
mod monitor;
mod observation;
mod record;
mod rule;
mod speed;

pub use monitor::Monitor;
pub use observation::{Attempt, Cause, Change, Observation, State};
pub use record::MAX_LOST_TASKS;
pub use rule::Rule;
