//! The last accepted changes, in a small document of their own, so that watchers of the settings
//! need not read the whole manifest for each change.

use super::{File, Manifest};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use site::unit::Revision;
use std::collections::{BTreeMap, VecDeque};
use uuid::Uuid;

/// Maximum number of changes in the document.
const MAX_STEPS: usize = 8;

/// Maximum number of files in all changes of the document.
const MAX_FILES: usize = 64;

/// One accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Step {
    change: Uuid,
    /// Files that were added or changed; `None` for a removed file.
    files: BTreeMap<CompactString, Option<File>>,
}

impl Step {
    fn between(before: &Manifest, after: &Manifest) -> Step {
        let differs = |(name, file): &(&CompactString, &File)| {
            before.files.get(*name).is_none_or(|former| former != *file)
        };
        let removed = before.files.keys().filter(|name| !after.files.contains_key(*name));
        let removed = removed.map(|name| (name.clone(), None));
        let written = after.files.iter().filter(differs);
        let written = written.map(|(name, file)| (name.clone(), Some(*file)));
        Step { change: after.change, files: written.chain(removed).collect() }
    }

    fn apply(&self, manifest: &Manifest) -> Manifest {
        let mut files = manifest.files.clone();
        for (name, file) in &self.files {
            match file {
                Some(file) => drop(files.insert(name.clone(), *file)),
                None => drop(files.remove(name)),
            }
        }
        manifest.succeed(files, self.change)
    }
}

/// The last accepted changes. Only written together with the manifest.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Changes {
    /// Revision of the manifest that was written with it.
    pub(super) revision: Revision,
    /// Each step produces one revision from the one before; the last step produces `revision`.
    steps: VecDeque<Step>,
}

impl Changes {
    /// Returns the document for `after`, if this is the document for `before`.
    pub(super) fn succeed(&self, before: &Manifest, after: &Manifest) -> Changes {
        let mut steps = match self.revision == before.revision {
            true => self.steps.clone(),
            false => VecDeque::new(),
        };
        steps.push_back(Step::between(before, after));
        while steps.len() > MAX_STEPS || files(&steps) > MAX_FILES {
            steps.pop_front();
        }
        Changes { revision: after.revision, steps }
    }

    /// Applies the changes to an earlier manifest; `None` if steps since then are missing.
    pub(super) fn follow(&self, manifest: &Manifest) -> Option<Manifest> {
        let missed = self.revision.0.checked_sub(manifest.revision.0)?;
        let first = self.steps.len().checked_sub(usize::try_from(missed).ok()?)?;
        let steps = self.steps.range(first..);
        Some(steps.fold(manifest.clone(), |manifest, step| step.apply(&manifest)))
    }
}

fn files(steps: &VecDeque<Step>) -> usize {
    steps.iter().map(|step| step.files.len()).sum()
}
