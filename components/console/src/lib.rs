//! Prints results and errors of the command line, as text for people or as JSON for scripts.
//!
//! Results go to standard output, progress and errors to standard error. Scripts get one JSON
//! document for each result or error. All output of the commands goes through this crate.

mod progress;
mod table;

pub use progress::Progress;
pub use table::Table;

use serde::Serialize;
use serde_json::Value;
use std::{
    fmt::Display,
    io::{self, IsTerminal, Write},
};

/// Kind of reader of the output, which determines its format.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Audience {
    /// A person who reads text.
    #[default]
    Person,
    /// A program that reads JSON.
    Script,
}

/// Printer for one audience.
#[derive(Clone, Copy, Debug, Default)]
pub struct Console {
    audience: Audience,
}

/// An error in the JSON format for scripts.
#[derive(Serialize)]
struct Failure<'a> {
    error: &'a str,
    code: u8,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<Value>,
}

impl Console {
    /// Creates a console for `audience`.
    pub fn new(audience: Audience) -> Console {
        Console { audience }
    }

    /// Returns the audience.
    pub fn audience(&self) -> Audience {
        self.audience
    }

    /// Prints a result.
    pub fn print<T: Display + Serialize>(&self, result: &T) {
        match self.audience {
            Audience::Person => print_line(&result.to_string()),
            Audience::Script => self.print_json(result),
        }
    }

    /// Prints a result as JSON for both audiences.
    pub fn print_json<T: Serialize>(&self, result: &T) {
        let text = match self.audience {
            Audience::Person => serde_json::to_string_pretty(result),
            Audience::Script => serde_json::to_string(result),
        };
        print_line(&text.unwrap_or_default());
    }

    /// Prints bytes unchanged.
    pub fn print_bytes(&self, bytes: &[u8]) {
        let mut output = io::stdout().lock();
        // Ignored, since the reader may have closed the pipe.
        let _ = output.write_all(bytes).and_then(|()| output.flush());
    }

    /// Prints an error. Scripts also get the exit code `code` and `detail`.
    pub fn fail(&self, error: &dyn Display, code: u8, detail: Option<Value>) {
        let text = error.to_string();
        let line = match self.audience {
            Audience::Person => format!("error: {}", text.trim_end()),
            Audience::Script => {
                let failure = Failure { error: &text, code, detail };
                serde_json::to_string(&failure).unwrap_or_default()
            }
        };
        // Ignored, since there is no other output to report the failure to.
        let _ = writeln!(io::stderr(), "{line}");
    }

    /// Prints a note to standard error; not shown to scripts.
    pub fn note(&self, text: &dyn Display) {
        if self.audience == Audience::Person {
            let _ = writeln!(io::stderr(), "{text}");
        }
    }

    /// Creates a progress line, shown only to a person at a terminal.
    pub fn progress(&self, total: u64) -> Progress {
        let shown = self.audience == Audience::Person && io::stderr().is_terminal();
        Progress::new(total, shown)
    }
}

fn print_line(text: &str) {
    let mut output = io::stdout().lock();
    // Ignored, since the reader may have closed the pipe.
    let _ = writeln!(output, "{}", text.trim_end());
}
