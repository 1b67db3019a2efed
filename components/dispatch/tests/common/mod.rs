//! Simulation of a few entries in virtual time, with fake executors, network and platform at their
//! interfaces.
#![allow(dead_code, missing_docs, unreachable_pub, unused_imports)]

pub mod attempts;
pub mod caller;
pub mod check;
pub mod executor;
pub mod network;
pub mod platform;
pub mod simulation;
pub mod site;
pub mod step;

pub use self::{
    executor::Mode,
    platform::Service,
    simulation::Simulation,
    site::{Shape, Work, executor_id, firm, id},
    step::{Name, Run, Step},
};
