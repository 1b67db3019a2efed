//! Header names of the endpoint protocol, as published in `docs/WORKERS.md`. They are defined a
//! second time so that tests detect a dispatcher that deviates from the published protocol.

pub(crate) const TASK: &str = "Primrosestep-Task";
pub(crate) const ATTEMPT: &str = "Primrosestep-Attempt";
pub(crate) const CORES: &str = "Primrosestep-Cores";
pub(crate) const MEMORY: &str = "Primrosestep-Memory";
pub(crate) const ACCELERATORS: &str = "Primrosestep-Accelerators";
pub(crate) const LEASE: &str = "Primrosestep-Lease";
pub(crate) const OUTCOME: &str = "Primrosestep-Outcome";
pub(crate) const REFUSAL: &str = "Primrosestep-Refusal";
pub(crate) const LEAVING: &str = "Primrosestep-Leaving";
pub(crate) const ATTEMPT_STATE: &str = "Primrosestep-Attempt-State";
pub(crate) const RETRY_AFTER: &str = "Retry-After";
