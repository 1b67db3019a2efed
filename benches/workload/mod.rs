//! The sites and the jobs that their callers submit.

pub(crate) mod load;
pub(crate) mod model;
