//! Properties that a case violates.

use compact_str::CompactString;
use derive_more::{Display, Error};

/// The result of a case: a short name by which results are counted, or the finding.
pub type Outcome = Result<CompactString, Finding>;

/// A property that a case violates.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Finding {
    /// A thread of the process panicked.
    #[display("panic: {text}")]
    Panic {
        /// Message and source location of each panic.
        text: String,
    },
    /// The heap grew too much while the case ran.
    #[display("the heap grew by {bytes} bytes, over the bound of {bound}")]
    Memory {
        /// Largest growth at one time during the case, in bytes.
        bytes: usize,
        /// Largest growth that the target allows, in bytes.
        bound: usize,
    },
    /// The heap stayed larger after the case.
    #[display("{bytes} bytes stay on the heap after {what}, over the bound of {bound}")]
    Kept {
        /// Kind of the messages that the entry received repeatedly.
        what: String,
        /// Growth that is still allocated, in bytes.
        bytes: usize,
        /// Largest remaining growth that the target allows, in bytes.
        bound: usize,
    },
    /// The case took too many steps.
    #[display("{what}: over the bound of {bound} steps")]
    Steps {
        /// The loop or list that exceeded the bound.
        what: &'static str,
        /// Largest number of steps that the target allows.
        bound: usize,
    },
    /// A property of the target does not hold.
    #[display("{property}: {detail}")]
    Broken {
        /// The property that should hold.
        property: &'static str,
        /// The observed state that violates it.
        detail: String,
    },
}

impl Finding {
    /// Returns a short name, for file names and counts.
    pub fn name(&self) -> &'static str {
        match self {
            Finding::Panic { .. } => "panic",
            Finding::Memory { .. } => "memory",
            Finding::Kept { .. } => "kept",
            Finding::Steps { .. } => "steps",
            Finding::Broken { .. } => "broken",
        }
    }
}
