//! A laboratory for decisions under load: real entries in virtual time, against modelled executors
//! and callers.
//!
//! A [`Pattern`](pattern::Pattern) says what comes and what goes wrong; with a seed it makes a day's
//! arrivals. A [`World`](world::World) plays them, and a [`Tally`](tally::Tally) tells what its
//! callers got. Two policies are compared on the same arrivals, seed by seed.

pub mod compare;
pub mod pattern;
pub mod plot;
pub mod tally;
pub mod trial;
pub mod world;
