//! Reads the files of a settings folder.

use crate::{
    check::{Checked, parse},
    limit::{MAX_FILE_BYTES, MAX_FILES, MAX_FOLDER_BYTES},
    location::Path,
    report::{Findings, Reason, Report},
    source::{Files, Sources},
};
use bytes::Bytes;
use compact_str::CompactString;
use std::{
    ffi::{OsStr, OsString},
    fs::{self, File},
    io::{self, Read},
    path,
};

const EXTENSION: &str = "json";

/// A settings folder that was read and checked.
#[derive(Clone, Debug)]
pub struct Folder {
    /// The files by name, unchanged.
    pub files: Files,
    /// The merged and checked settings.
    pub checked: Checked,
}

/// Reads and checks the settings files in `dir`.
///
/// # Errors
///
/// A report of every error in the folder. None of the settings may be used then.
pub fn load(dir: &path::Path) -> Result<Folder, Report> {
    let files = read(dir)?;
    let checked = parse(&files)?;
    Ok(Folder { files, checked })
}

/// Reads the files in `dir` that end in `.json` and do not start with a dot.
///
/// # Errors
///
/// A report of every file that can't be read, or of a folder that is too large.
pub fn read(dir: &path::Path) -> Result<Files, Report> {
    let mut reader = Reader::default();
    match names(dir) {
        Err(error) => reader.fail(dir.as_os_str(), Reason::Read { kind: error.kind() }),
        Ok(names) if names.len() > MAX_FILES => {
            reader.fail(dir.as_os_str(), Reason::ManyFiles { files: names.len() });
        }
        Ok(names) => reader.add_all(dir, &names),
    }
    match reader.findings.has_errors() {
        true => Err(reader.findings.report(&reader.sources)),
        false => Ok(reader.files),
    }
}

fn names(dir: &path::Path) -> io::Result<Vec<OsString>> {
    let names = fs::read_dir(dir)?.map(|entry| entry.map(|entry| entry.file_name()));
    let mut names = names.collect::<io::Result<Vec<_>>>()?;
    names.retain(|name| is_settings(name));
    names.sort();
    Ok(names)
}

fn is_settings(name: &OsStr) -> bool {
    let hidden = name.as_encoded_bytes().starts_with(b".");
    !hidden && path::Path::new(name).extension() == Some(OsStr::new(EXTENSION))
}

/// Reads a file. Stops after one byte more than a file may have and returns an error then.
pub(crate) fn read_file(path: &path::Path) -> Result<Vec<u8>, Reason> {
    let limit = MAX_FILE_BYTES as u64 + 1;
    let mut text = Vec::new();
    let read = File::open(path).and_then(|file| file.take(limit).read_to_end(&mut text));
    match read {
        Err(error) => Err(Reason::Read { kind: error.kind() }),
        Ok(bytes) if bytes > MAX_FILE_BYTES => Err(Reason::LargeFile { bytes }),
        Ok(_) => Ok(text),
    }
}

#[derive(Default)]
struct Reader {
    files: Files,
    bytes: usize,
    sources: Sources,
    findings: Findings,
}

impl Reader {
    fn add_all(&mut self, dir: &path::Path, names: &[OsString]) {
        for name in names {
            match read_file(&dir.join(name)) {
                Ok(text) => self.add(name, text),
                Err(reason) => self.fail(name, reason),
            }
            if self.bytes > MAX_FOLDER_BYTES {
                return self.fail(dir.as_os_str(), Reason::LargeFolder { bytes: self.bytes });
            }
        }
    }

    fn add(&mut self, name: &OsStr, text: Vec<u8>) {
        self.bytes += text.len();
        match name.to_str() {
            Some(name) => drop(self.files.insert(name.into(), text.into())),
            None => self.fail(name, Reason::FileName),
        }
    }

    fn fail(&mut self, name: &OsStr, reason: Reason) {
        let name = CompactString::from(name.to_string_lossy());
        let origin = self.sources.push(name, Bytes::new());
        self.findings.error(origin, Path::default(), reason);
    }
}
