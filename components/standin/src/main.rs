//! The program `standin`: runs one stand-in until the process is killed.

mod cli;
mod cmd;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    match cmd::run(cli::Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
