//! Tells from the logs of entries what became of a job.
//!
//! [`Story`] takes log lines in any order and keeps those that concern one job; [`Story::cause`]
//! says why the job ended as it did.

mod cause;
mod line;
mod story;

pub use cause::Cause;
pub use line::Line;
pub use story::Story;
