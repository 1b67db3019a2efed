//! A stand-in for an executor that takes orders under a lease, over HTTP.
//!
//! A task's specification says what it does: `{"ms": 60, "cpu": 27000, "fail": false}`.

mod life;
mod serve;

pub use life::{Life, Running};
pub use serve::{Begun, Executor, Twice};
