//! Entries, executors and callers in virtual time.

#![allow(dead_code, unused_imports, reason = "each test uses a part of it")]

pub(crate) mod fixture;
pub(crate) mod world;

pub(crate) use world::{Fault, Plan, World};
