//! Measures the processor time, memory and bytes that the parts of an entry cost, in one process,
//! and computes from that the costs of each role at the size to design for.

pub mod error;
pub mod fake;
pub mod machine;
pub mod measure;
pub mod page;
pub mod probe;
pub mod slope;

pub use error::Error;
pub use machine::Machine;
pub use slope::{Point, Probe, Quantity, Slopes};
