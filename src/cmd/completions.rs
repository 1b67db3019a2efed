//! `primrosestep completions`.

use crate::{
    cli::{Cli, Completions},
    exit::Exit,
};
use clap::CommandFactory;
use console::Console;

/// Prints the completion script for a shell.
pub(crate) fn run(args: &Completions, console: &Console) -> Exit {
    let mut command = Cli::command();
    let name = command.get_name().to_owned();
    let mut text = Vec::new();
    clap_complete::generate(args.shell, &mut command, name, &mut text);
    console.print_bytes(&text);
    Exit::Done
}
