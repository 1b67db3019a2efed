//! The program `primrosestep`, the command line for operators and callers.

mod cli;
mod cmd;
mod exit;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let console = cli.console();
    match cmd::run(cli, &console) {
        Ok(exit) => exit.into(),
        Err(error) => {
            let exit = error.exit();
            console.fail(&error, exit.code(), error.detail());
            exit.into()
        }
    }
}
