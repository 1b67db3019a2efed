//! `primrosestep fetch`.

use crate::{
    cli::Fetch,
    cmd::call,
    exit::{Error, Exit},
};
use client::job::Fetched;
use console::Console;
use derive_more::Display;
use serde::Serialize;

/// Result for a job without an answer yet.
#[derive(Debug, Display, Serialize)]
#[display("no answer yet")]
struct Pending {
    pending: bool,
}

/// Prints the answer to a job.
pub(crate) fn run(args: &Fetch, console: &Console) -> Result<Exit, Error> {
    let client = call::open(&args.entry)?;
    match smol::block_on(client.fetch(args.id, args.wait))? {
        Fetched::Complete(answer) => {
            console.print_json(&answer);
            Ok(Exit::Done)
        }
        Fetched::Pending => {
            console.print(&Pending { pending: true });
            Ok(Exit::Failed)
        }
    }
}
