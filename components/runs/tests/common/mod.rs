//! Small things for tests that hand events to single entries.

#![allow(dead_code, reason = "each test uses a part of it")]

pub(crate) mod fixture;
