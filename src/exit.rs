//! Exit codes, and the errors that cause them.

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use platform::manifest;
use serde_json::{Value, json};
use std::{io, process::ExitCode};

/// Exit code of a command. Scripts rely on the codes, so they do not change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A submission failed or a request was refused.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings are invalid.
    Settings = 3,
    /// The platform or the entry can't be reached.
    Unreachable = 4,
    /// The settings were changed by others meanwhile.
    Conflict = 5,
}

impl Exit {
    /// Returns the numeric exit code.
    pub(crate) fn code(self) -> u8 {
        self as u8
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}

/// Error of a command.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    /// The settings are invalid.
    #[from]
    #[display("{_0}")]
    Settings(settings::Report),
    /// The platform's settings can't be read or changed.
    #[from]
    #[display("{_0}")]
    Platform(manifest::Error),
    /// An entry rejected a request or did not respond.
    #[from]
    #[display("{_0}")]
    Client(client::Error),
    /// Certificates can't be created or read.
    #[from]
    #[display("{_0}")]
    Tls(link::tls::Error),
    /// The demonstration failed.
    #[from]
    #[display("{_0}")]
    Demo(demo::Error),
    /// The log can't be started.
    #[from]
    #[display("{_0}")]
    Log(telemetry::LogError),
    /// The job in a file is invalid.
    #[display("{path}: {source}; see docs/HTTP.md for the fields of a job")]
    Job {
        /// Path of the file, or `-` for standard input.
        path: CompactString,
        /// Error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
    /// A file or stream can't be read or written.
    #[display("{path}: {source}")]
    File {
        /// Path of the file, or `-` for standard input.
        path: CompactString,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An argument is missing.
    #[display("{what} is not known; give --{option} or set {variable}")]
    #[from(skip)]
    Missing {
        /// Description of the missing value.
        what: &'static str,
        /// Name of the option, without dashes.
        option: &'static str,
        /// Environment variable that can be set instead.
        variable: &'static str,
    },
}

impl Error {
    /// Returns the exit code for the error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Error::Settings(_) => Exit::Settings,
            Error::Platform(manifest::Error::Store(_)) => Exit::Unreachable,
            Error::Platform(_) => Exit::Settings,
            Error::Client(client::Error::Problem(_) | client::Error::Deadline { .. }) => {
                Exit::Failed
            }
            Error::Client(client::Error::NoEntries) => Exit::Usage,
            Error::Client(_) => Exit::Unreachable,
            Error::Tls(_) => Exit::Settings,
            Error::Demo(_) | Error::Log(_) => Exit::Failed,
            Error::Job { .. } | Error::File { .. } | Error::Missing { .. } => Exit::Usage,
        }
    }

    /// Returns the details for scripts: the problem that an entry returned, or the outcome.
    pub(crate) fn detail(&self) -> Option<Value> {
        match self {
            Error::Client(client::Error::Problem(problem)) => serde_json::to_value(problem).ok(),
            Error::Client(error) => {
                Some(json!({ "outcome": serde_json::to_value(error.outcome()).ok()? }))
            }
            _ => None,
        }
    }
}
