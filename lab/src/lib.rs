//! Simulator for decisions under load: runs the real entry logic in virtual time, with simulated
//! executors and callers.
//!
//! A [`Pattern`](pattern::Pattern) describes the jobs, the site and the faults; with a seed it
//! determines the arrivals. A [`Simulation`](simulation::Simulation) runs them, and a
//! [`Tally`](tally::Tally) summarizes the answers. Two policies are compared on the same arrivals,
//! seed by seed.

pub mod compare;
pub mod pattern;
pub mod plot;
pub mod simulation;
pub mod tally;
pub mod trial;
