//! `primrosestep show`.

use crate::{
    cli::{Show, What},
    cmd::call,
    exit::{Error, Exit},
};
use console::Console;

/// Prints a view of an entry.
pub(crate) fn run(args: &Show, console: &Console) -> Result<Exit, Error> {
    let client = call::open(&args.entry)?;
    let view = smol::block_on(client.show(name(args.what)))?;
    console.print_json(&view);
    Ok(Exit::Done)
}

fn name(what: What) -> &'static str {
    match what {
        What::Config => "config",
        What::Executors => "executors",
        What::Firms => "firms",
        What::Jobs => "jobs",
        What::Peers => "peers",
    }
}
