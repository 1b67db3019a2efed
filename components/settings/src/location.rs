//! Location of a finding: a path in the settings and a position in a file.

use compact_str::CompactString;
use std::fmt;

/// Keys from the root of a JSON value to a member. Empty for the whole value.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Path(pub Vec<CompactString>);

impl Path {
    /// Creates a path of the given keys.
    pub fn of<const N: usize>(keys: [&str; N]) -> Self {
        Self(keys.into_iter().map(CompactString::from).collect())
    }

    /// Returns this path with `key` appended.
    pub fn join(&self, key: &str) -> Self {
        Self(self.0.iter().cloned().chain([key.into()]).collect())
    }

    /// Returns this path with `rest` appended.
    pub fn extend(&self, rest: &Path) -> Self {
        Self(self.0.iter().chain(&rest.0).cloned().collect())
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("."))
    }
}

/// A path during a traversal. Built without allocation, since few paths end up in a report.
#[derive(Clone, Copy)]
pub(crate) struct Trail<'a> {
    parent: Option<&'a Trail<'a>>,
    key: &'a str,
}

impl<'a> Trail<'a> {
    /// The empty trail: the whole value.
    pub(crate) const ROOT: Trail<'static> = Trail { parent: None, key: "" };

    /// Returns this trail with `key` appended.
    pub(crate) fn join<'b>(&'b self, key: &'b str) -> Trail<'b>
    where
        'a: 'b,
    {
        Trail { parent: Some(self), key }
    }

    pub(crate) fn path(&self) -> Path {
        match self.parent {
            None => Path::default(),
            Some(parent) => parent.path().join(self.key),
        }
    }
}

/// A location in the settings. Ordered by file and line.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// Name of the file; empty for the folder as a whole.
    pub file: CompactString,
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the member in the merged settings.
    pub path: Path,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.file.is_empty() {
            true => f.write_str("folder")?,
            false => write!(f, "{}:{}:{}", self.file, self.line, self.column)?,
        }
        match self.path.0.is_empty() {
            true => Ok(()),
            false => write!(f, ": {}", self.path),
        }
    }
}
