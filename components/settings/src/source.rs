//! The files of a folder, and positions in them.

use crate::location::{Location, Path};
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::BTreeMap;

/// The files of a folder by name. The order of the names is the order of merging.
pub type Files = BTreeMap<CompactString, Bytes>;

/// A position: a file and an offset in it. Ordered like the merge.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Origin {
    /// Index of the file among the sources.
    pub(crate) file: usize,
    /// Offset in the file in bytes.
    pub(crate) offset: usize,
}

/// The files that origins refer to.
#[derive(Debug, Default)]
pub(crate) struct Sources {
    files: Vec<(CompactString, Bytes)>,
}

impl Sources {
    pub(crate) fn new(files: &Files) -> Self {
        Self { files: files.iter().map(|(name, text)| (name.clone(), text.clone())).collect() }
    }

    /// Appends a file and returns the origin of its start.
    pub(crate) fn push(&mut self, name: CompactString, text: Bytes) -> Origin {
        self.files.push((name, text));
        Origin { file: self.files.len() - 1, offset: 0 }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Origin, &CompactString, &Bytes)> {
        let start = |file| Origin { file, offset: 0 };
        self.files.iter().enumerate().map(move |(file, (name, text))| (start(file), name, text))
    }

    /// Returns the file, line and column of `origin`.
    pub(crate) fn locate(&self, origin: Origin, path: Path) -> Location {
        let Some((file, text)) = self.files.get(origin.file) else {
            return Location { file: CompactString::default(), line: 1, column: 1, path };
        };
        let before = &text[..origin.offset.min(text.len())];
        let line_start = before.iter().rposition(|&b| b == b'\n').map_or(0, |at| at + 1);
        let line = 1 + before.iter().filter(|&&b| b == b'\n').count();
        let column = 1 + before[line_start..].iter().filter(|&&b| starts_char(b)).count();
        Location { file: file.clone(), line, column, path }
    }

    /// Returns the offset of a line and column as reported by JSON errors: both from 1, columns in
    /// bytes.
    pub(crate) fn offset(text: &[u8], line: usize, column: usize) -> usize {
        let line_start = match line {
            0 | 1 => 0,
            _ => text
                .iter()
                .enumerate()
                .filter(|(_, b)| **b == b'\n')
                .nth(line - 2)
                .map_or(text.len(), |(at, _)| at + 1),
        };
        (line_start + column.saturating_sub(1)).min(text.len())
    }
}

/// Returns whether a byte of UTF-8 starts a character.
fn starts_char(byte: u8) -> bool {
    byte & 0xc0 != 0x80
}
