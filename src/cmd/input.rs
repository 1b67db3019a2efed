//! Reads a file or standard input.

use crate::exit::Error;
use std::{
    fs,
    io::{self, Read},
    path::Path,
};

/// Path that denotes standard input.
const STDIN: &str = "-";

/// Reads a whole file, or standard input for `-`.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, Error> {
    let bytes = match path == Path::new(STDIN) {
        true => read_stdin(),
        false => fs::read(path),
    };
    bytes.map_err(|source| Error::File { path: path.to_string_lossy().into(), source })
}

fn read_stdin() -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    io::stdin().lock().read_to_end(&mut bytes)?;
    Ok(bytes)
}
