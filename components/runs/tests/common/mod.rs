//! Helpers for tests that feed events to single entries.

#![allow(dead_code, reason = "each test uses a part of it")]

pub(crate) mod executors;
pub(crate) mod fixture;
pub(crate) mod network;
