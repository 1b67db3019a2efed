//! The table of submissions that a home has admitted.
//!
//! A [`Table`] ensures that no identifier is admitted twice: it keeps every identifier for as long
//! as it accepts the identifier's epoch. Answers are kept for as long as memory allows.

pub mod job;
pub mod record;
pub mod table;

pub use job::Job;
pub use record::{Finish, Record, Waiter};
pub use table::{Admission, Lookup, Table};
