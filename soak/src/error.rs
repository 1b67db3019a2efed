//! Why a play could not go on.

use derive_more::{Display, Error, From};
use std::{io, path::PathBuf};

/// Why a play could not go on.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A file, a port or a process can't be used.
    #[display("a file, port or process can't be used: {_0}")]
    Io(io::Error),
    /// An entry did not get ready.
    #[display("an entry did not get ready; its log is in {}", folder.display())]
    #[from(skip)]
    NotReady {
        /// Where the logs are.
        folder: PathBuf,
    },
    /// The program of an entry is not where it is looked for.
    #[display("{} is no program: build it with cargo build --release, or give --node", path.display())]
    #[from(skip)]
    NoProgram {
        /// Where.
        path: PathBuf,
    },
}
