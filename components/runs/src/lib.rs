//! Scheduling of jobs whose tasks run on leased executors.
//!
//! A caller submits a job to any entry, which becomes the job's **home**: it admits or rejects the
//! job and answers the caller. Each executor has one **keeper** among the entries, the only one
//! that starts tasks there, renews the executor's lease and acknowledges ends. A home sends its
//! tasks to keepers with room.
//!
//! [`Entry`] combines both roles for one process. [`Entry::handle`] takes the time and an [`Event`]
//! and appends the [`Action`]s that the caller must carry out in order. The crate reads no clock,
//! opens no socket and draws no random number, so equal events give equal actions.

pub mod action;
mod classes;
pub mod clock;
pub mod cordon;
mod deadline;
pub mod demand;
pub mod entry;
pub mod event;
pub mod executor;
mod home;
pub mod job;
mod keeper;
pub mod load;
pub mod message;
pub mod options;
mod outdated;
mod reports;
pub mod speed;
mod view;
mod watch;

pub use action::{Action, Decision};
pub use cordon::Cordon;
pub use entry::Entry;
pub use event::Event;
pub use executor::Executor;
pub use job::Job;
pub use message::Message;
pub use options::Options;
