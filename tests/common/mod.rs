//! Runs the command line and prepares settings folders.

#![allow(dead_code, reason = "each test file uses a part")]

use serde_json::Value;
use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

/// Result of a finished run.
pub(crate) struct Run {
    /// The exit code.
    pub(crate) code: i32,
    /// Standard output.
    pub(crate) stdout: String,
    /// Standard error.
    pub(crate) stderr: String,
}

impl Run {
    /// Parses standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout)
            .unwrap_or_else(|_| panic!("not JSON: {:?} {:?}", self.stdout, self.stderr))
    }
}

/// Runs `primrosestep` with `args`.
pub(crate) fn run<S: AsRef<std::ffi::OsStr>>(args: &[S]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosestep"));
    for variable in ["PRIMROSESTEP_PLATFORM", "PRIMROSESTEP_ENTRY", "PRIMROSESTEP_KEY"] {
        command.env_remove(variable);
    }
    let Output { status, stdout, stderr } = command.args(args).output().unwrap();
    Run {
        code: status.code().unwrap(),
        stdout: String::from_utf8(stdout).unwrap(),
        stderr: String::from_utf8(stderr).unwrap(),
    }
}

/// A temporary folder, removed on drop.
pub(crate) struct Folder(PathBuf);

impl Folder {
    /// Creates an empty folder.
    pub(crate) fn new() -> Folder {
        let name = format!("primrosestep-{}", uuid::Uuid::new_v4());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).unwrap();
        Folder(path)
    }

    /// Creates a copy of the sample settings called `name`.
    pub(crate) fn sample(name: &str) -> Folder {
        let folder = Folder::new();
        for file in fs::read_dir(Path::new("fixtures").join(name)).unwrap() {
            let file = file.unwrap();
            fs::copy(file.path(), folder.0.join(file.file_name())).unwrap();
        }
        folder
    }

    /// Returns the path of the folder.
    pub(crate) fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }

    /// Writes a file in the folder.
    pub(crate) fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
