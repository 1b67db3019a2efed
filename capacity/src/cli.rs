//! The command line.

use clap::{Parser, Subcommand};

/// Measures the costs of an entry and computes its capacity from them.
#[derive(Debug, Parser)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Subcommand to run.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Measure, and print one JSON document per line.
    Slopes,
    /// Read the output of `slopes` from standard input, and print docs/CAPACITY.md.
    Page,
}
