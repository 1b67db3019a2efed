//! The settings files that an entry holds, with a bounded history of which files changed in recent
//! revisions. Does no I/O.

use compact_str::CompactString;
use settings::Files;
use site::unit::Revision;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of earlier revisions that a delta can start from.
const MAX_HISTORY_REVISIONS: usize = 64;

/// Maximum number of file names in the whole history.
const MAX_HISTORY_NAMES: usize = 4_096;

/// Changes from one revision to another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Revision that the delta applies to; 0 if `files` contains all files.
    pub base: Revision,
    /// Revision that results from applying the delta.
    pub revision: Revision,
    /// Files that were added or changed.
    pub files: Files,
    /// Names of removed files.
    pub removed: BTreeSet<CompactString>,
}

impl Delta {
    /// Whether the delta contains all files and needs no base.
    pub fn is_snapshot(&self) -> bool {
        self.base == Revision(0)
    }
}

/// One change of the held revision.
#[derive(Clone, Debug)]
struct Change {
    base: Revision,
    /// Names of the files that were changed, added or removed.
    names: Vec<CompactString>,
}

/// The files of the highest revision that was received.
#[derive(Clone, Debug, Default)]
pub struct Folder {
    /// Never decreases.
    revision: Revision,
    files: Files,
    /// Recent changes, oldest first. Each results in the base of the next.
    history: VecDeque<Change>,
}

impl Folder {
    /// Creates a folder of `revision`, which is 0 for files that the platform never accepted.
    pub fn new(revision: Revision, files: Files) -> Folder {
        Folder { revision, files, history: VecDeque::new() }
    }

    /// Returns the revision of the files.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the files by name.
    pub fn files(&self) -> &Files {
        &self.files
    }

    /// Replaces all files with those of a higher revision. Returns false and changes nothing if
    /// `revision` is not higher than the held one.
    pub fn replace(&mut self, revision: Revision, files: Files) -> bool {
        if revision <= self.revision {
            return false;
        }
        let differs = |name: &&CompactString| self.files.get(*name) != files.get(*name);
        let names: BTreeSet<_> = self.files.keys().chain(files.keys()).filter(differs).collect();
        let names = names.into_iter().cloned().collect();
        self.files = files;
        self.record_change(revision, names);
        true
    }

    /// Applies a delta. Returns false and changes nothing unless its revision is higher than the
    /// held one and its base is the held revision or 0.
    pub fn apply(&mut self, delta: Delta) -> bool {
        if delta.is_snapshot() {
            return self.replace(delta.revision, delta.files);
        }
        if delta.revision <= self.revision || delta.base != self.revision {
            return false;
        }
        let names = delta.files.keys().chain(&delta.removed).cloned().collect();
        self.files.retain(|name, _| !delta.removed.contains(name));
        self.files.extend(delta.files);
        self.record_change(delta.revision, names);
        true
    }

    /// Returns the delta from `have` to the held revision, or a snapshot of all files if the
    /// history does not reach back to `have`. Returns `None` if `have` is not lower than the held
    /// revision.
    pub fn delta_since(&self, have: Revision) -> Option<Delta> {
        if have >= self.revision {
            return None;
        }
        let Some(first) = self.history.iter().position(|change| change.base == have) else {
            return Some(self.snapshot());
        };
        let names: BTreeSet<_> =
            self.history.range(first..).flat_map(|change| &change.names).collect();
        let mut delta = Delta { base: have, revision: self.revision, ..Delta::default() };
        for name in names {
            match self.files.get(name) {
                Some(text) => drop(delta.files.insert(name.clone(), text.clone())),
                None => drop(delta.removed.insert(name.clone())),
            }
        }
        Some(delta)
    }

    fn snapshot(&self) -> Delta {
        Delta { revision: self.revision, files: self.files.clone(), ..Delta::default() }
    }

    /// Sets the revision and adds the names of the changed files to the history.
    fn record_change(&mut self, revision: Revision, names: Vec<CompactString>) {
        // Files that were never accepted can't be a base: other entries may hold different ones.
        if self.revision > Revision(0) {
            self.history.push_back(Change { base: self.revision, names });
        }
        self.revision = revision;
        while self.history.len() > MAX_HISTORY_REVISIONS || self.history_names() > MAX_HISTORY_NAMES
        {
            self.history.pop_front();
        }
    }

    fn history_names(&self) -> usize {
        self.history.iter().map(|change| change.names.len()).sum()
    }
}
