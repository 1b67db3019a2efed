//! Stores cases that failed once in files, so that the tests run them again.

use sha2::{Digest, Sha256};
use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// Hexadecimal digits of a case's SHA-256 digest in its file name.
const DIGEST_DIGITS: usize = 12;

/// Returns the directory of a target's stored cases.
pub fn folder(target: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("cases").join(target)
}

/// Writes a case to a file that is named by its finding and its digest, and returns the path.
///
/// # Errors
///
/// When the file can't be written.
pub fn save(target: &str, finding: &str, case: &[u8]) -> io::Result<PathBuf> {
    let folder = folder(target);
    fs::create_dir_all(&folder)?;
    let digest: String = Sha256::digest(case).iter().map(|byte| format!("{byte:02x}")).collect();
    let path = folder.join(format!("{finding}-{}", &digest[..DIGEST_DIGITS]));
    fs::write(&path, case)?;
    Ok(path)
}

/// Returns the stored cases of a target with their file names, sorted by path.
///
/// # Errors
///
/// When a file can't be read. A target without a directory has no cases.
pub fn load(target: &str) -> io::Result<Vec<(String, Vec<u8>)>> {
    let entries = match fs::read_dir(folder(target)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        entries => entries?,
    };
    let mut paths = entries.map(|entry| Ok(entry?.path())).collect::<io::Result<Vec<_>>>()?;
    paths.sort();
    let name = |path: &Path| path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    paths.iter().map(|path| Ok((name(path), fs::read(path)?))).collect()
}
