//! Generates malformed input for everything that an entry reads from other processes.
//!
//! A [`Target`] generates cases from a random source and runs them; [`run::Run`] checks each case
//! against bounds on memory and time and against the target's own properties. A case is a byte
//! string, so that a failed one can be stored in a file. `docs/FUZZING.md` lists the findings.

pub mod bytes;
pub mod cases;
pub mod finding;
pub mod heap;
pub mod http;
pub mod json;
pub mod panics;
pub mod responder;
pub mod run;
pub mod shrink;
pub mod target;
pub mod watchdog;

pub use finding::{Finding, Outcome};
pub use target::Target;

/// The source of all random choices, seeded for each case.
pub type Random = rand_chacha::ChaCha8Rng;
