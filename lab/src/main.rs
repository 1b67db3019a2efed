//! The laboratory's command line.

mod cmd;

use clap::{Parser, Subcommand};
use std::{error::Error, process::ExitCode};

#[derive(Parser)]
#[command(about = "Plays loads against entries in virtual time")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a pattern and prints what its callers got.
    Run(cmd::run::Options),
    /// Compares two policies on the same arrivals.
    Compare(cmd::compare::Options),
    /// Switches mechanisms off, one by one.
    Ablate(cmd::ablate::Options),
    /// Draws what is earned against what is offered.
    Curve(cmd::curve::Options),
}

fn main() -> ExitCode {
    let result: Result<(), Box<dyn Error>> = match Cli::parse().command {
        Command::Run(options) => cmd::run::run(&options).map_err(Into::into),
        Command::Compare(options) => cmd::compare::run(&options).map_err(Into::into),
        Command::Ablate(options) => cmd::ablate::run(&options).map_err(Into::into),
        Command::Curve(options) => cmd::curve::run(&options).map_err(Into::into),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
