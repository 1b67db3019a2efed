//! Error type of a play.

use derive_more::{Display, Error, From};
use std::{io, path::PathBuf};

/// Reason why a play could not be carried out.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A file, a port or a process can't be used.
    #[display("a file, port or process can't be used: {_0}")]
    Io(io::Error),
    /// An entry was not ready in time.
    #[display("an entry was not ready in time; its log is in {}", folder.display())]
    #[from(skip)]
    NotReady {
        /// Folder with the logs.
        folder: PathBuf,
    },
    /// The program of an entry does not exist at the given path.
    #[display("{} is not a file: build it with cargo build --release, or give --node", path.display())]
    #[from(skip)]
    NoProgram {
        /// Path of the program.
        path: PathBuf,
    },
}
