//! Measures what the parts of an entry cost, and computes from that what each role costs at the
//! size to design for.

mod cli;
mod cmd;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match cli::Cli::parse().command {
        cli::Command::Slopes => cmd::slopes::run(),
        cli::Command::Page => cmd::page::run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}
