//! Jobs whose tasks run on leased executors.
//!
//! A caller hands a job in at any entry, which is then the job's **home**: it admits the job or
//! refuses it, and answers the caller. Each executor has one **keeper** among the entries: the only
//! one that starts tasks there, renews the executor's lease and acknowledges ends. A home sends
//! its tasks to keepers with room.
//!
//! [`Entry`] holds both roles of one process behind one facade. [`Entry::handle`] takes the time
//! and an [`Event`] and appends the [`Action`]s that the caller must carry out in order. Nothing
//! here reads a clock, opens a socket or draws a random number, so the same events give the same
//! actions.

pub mod action;
pub mod clock;
pub mod cordon;
pub mod entry;
pub mod event;
pub mod executor;
mod following;
mod home;
pub mod job;
mod keeper;
mod laggards;
pub mod load;
pub mod message;
pub mod options;
mod reports;
mod view;

pub use action::{Action, Decision};
pub use cordon::Cordon;
pub use entry::Entry;
pub use event::Event;
pub use executor::Executor;
pub use job::Job;
pub use message::Message;
pub use options::Options;
