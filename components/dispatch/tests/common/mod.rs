//! A few entries in virtual time, with fake executors, network and platform at their interfaces.
#![allow(dead_code, missing_docs, unreachable_pub, unused_imports)]

pub mod attempts;
pub mod caller;
pub mod check;
pub mod executor;
pub mod network;
pub mod platform;
pub mod site;
pub mod step;
pub mod world;

pub use self::{
    executor::Mode,
    platform::Service,
    site::{Shape, Work, executor_id, firm, id},
    step::{Name, Run, Step},
    world::World,
};
