//! The measured figures and the references they are compared with.

pub(crate) mod ideal;
pub(crate) mod list;
pub(crate) mod page;
pub(crate) mod row;
pub(crate) mod tally;
mod targets;
