//! The subcommands, one per file.

mod apply;
mod call;
mod cancel;
mod check;
mod completions;
mod demo;
mod diff;
mod drain;
mod explain;
mod fetch;
mod input;
mod keys;
mod request;
mod show;
mod store;
mod submit;

use crate::{
    cli::{Cli, Command},
    exit::{Error, Exit},
};
use console::Console;

/// Runs the selected subcommand.
pub(crate) fn run(cli: Cli, console: &Console) -> Result<Exit, Error> {
    match cli.command {
        Command::Check(args) => check::run(&args, console),
        Command::Apply(args) => apply::run(&args, console),
        Command::Diff(args) => diff::run(&args, console),
        Command::Show(args) => show::run(&args, console),
        Command::Submit(args) => submit::run(&args, console),
        Command::Request(args) => request::run(args, console),
        Command::Fetch(args) => fetch::run(&args, console),
        Command::Cancel(args) => cancel::run(&args, console),
        Command::Drain(args) => drain::run(&args, console),
        Command::Explain(args) => explain::run(&args, console),
        Command::Keys(args) => keys::run(&args, console),
        Command::Demo(args) => demo::run(&args, console),
        Command::Completions(args) => Ok(completions::run(&args, console)),
    }
}
