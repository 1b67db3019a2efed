//! The settings of a site and of its daemons.
//!
//! A site is described by a folder of small JSON files. They are merged in the order of their names
//! by RFC 7396 (JSON Merge Patch) and checked as a whole: either the result is a [`site::Site`], or
//! all of it is rejected and a [`Report`] lists every error with its file, line and fix.

mod check;
pub mod daemon;
mod de;
mod diff;
mod digest;
mod folder;
pub mod limit;
mod location;
mod merge;
mod range;
mod render;
mod report;
mod section;
mod source;
mod tree;
mod value_error;

pub use check::{Checked, collisions, parse};
pub use diff::{Change, ChangeKind, diff};
pub use digest::{Digest, ParseError, digest};
pub use folder::{Folder, load, read};
pub use location::{Location, Path};
pub use range::RangeError;
pub use render::render;
pub use report::{Finding, Quantity, Reason, Report, Severity};
pub use section::Section;
pub use source::Files;
