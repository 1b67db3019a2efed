//! Checks the names, number and sizes of files.

use crate::{
    limit::{MAX_FILE_BYTES, MAX_FILES, MAX_FOLDER_BYTES, MAX_NAME_BYTES},
    location::Path,
    range,
    report::{Findings, Reason},
    source::{Files, Origin},
};

/// Origin of findings about the folder as a whole.
const FOLDER: Origin = Origin { file: usize::MAX, offset: 0 };

/// Returns whether the folder is within the limits, so that it can be parsed.
pub(super) fn check(files: &Files, findings: &mut Findings) -> bool {
    let mut within_limits = true;
    let mut reject = |origin, reason| {
        findings.error(origin, Path::default(), reason);
        within_limits = false;
    };
    if files.len() > MAX_FILES {
        reject(FOLDER, Reason::ManyFiles { files: files.len() });
    }
    let bytes = files.values().map(|text| text.len()).sum();
    if bytes > MAX_FOLDER_BYTES {
        reject(FOLDER, Reason::LargeFolder { bytes });
    }
    for (file, (name, text)) in files.iter().enumerate() {
        let origin = Origin { file, offset: 0 };
        if text.len() > MAX_FILE_BYTES {
            reject(origin, Reason::LargeFile { bytes: text.len() });
        }
        if !is_file_name(name) {
            reject(origin, Reason::FileName);
        }
    }
    within_limits
}

fn is_file_name(name: &str) -> bool {
    let stem = name.strip_suffix(".json");
    name.len() <= MAX_NAME_BYTES && !name.starts_with('.') && stem.is_some_and(range::is_name)
}
