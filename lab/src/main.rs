//! Command line of the simulator.

mod cmd;

use clap::{Parser, Subcommand};
use std::{error::Error, process::ExitCode};

#[derive(Parser)]
#[command(about = "Simulates load patterns against entries in virtual time")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates a pattern and prints statistics of the answers.
    Run(cmd::run::Options),
    /// Compares two policies on the same arrivals.
    Compare(cmd::compare::Options),
    /// Disables mechanisms one by one and prints what each contributes.
    Ablate(cmd::ablate::Options),
    /// Plots the earned worth against the offered load.
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
