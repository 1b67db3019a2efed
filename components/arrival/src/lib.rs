//! When a request can have arrived at the earliest.
//!
//! A request may lie unread for as long as its process does not run: in the socket's buffer, in the
//! queue of new connections or behind another request. The time at which it is read tells nothing
//! about its age, and its caller may have given up and submitted it again elsewhere. [`Rounds`] and
//! [`Tracker`] give the last time at which it had certainly not arrived, from the process's own
//! progress and from the kernel's time stamps.
//!
//! How long a request was held up in the network is not known to either.

mod moment;
mod rounds;
mod tracker;

pub use moment::{Clocks, Moment};
pub use rounds::Rounds;
pub use tracker::Tracker;
