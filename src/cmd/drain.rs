//! `primrosestep drain`.

use crate::{
    cli::Entry,
    cmd::call,
    exit::{Error, Exit},
};
use console::Console;
use derive_more::Display;
use serde::Serialize;

/// Result of a started drain.
#[derive(Debug, Display, Serialize)]
#[display("draining")]
struct Draining {
    draining: bool,
}

/// Starts a drain of the first entry.
pub(crate) fn run(args: &Entry, console: &Console) -> Result<Exit, Error> {
    let client = call::open(args)?;
    smol::block_on(client.drain())?;
    console.print(&Draining { draining: true });
    Ok(Exit::Done)
}
