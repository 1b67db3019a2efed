//! The subcommands.

pub(crate) mod page;
pub(crate) mod slopes;
