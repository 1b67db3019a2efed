//! `primrosestep cancel`.

use crate::{
    cli::Cancel,
    cmd::call,
    exit::{Error, Exit},
};
use client::job::Cancelled;
use console::Console;
use derive_more::Display;
use serde::Serialize;
use site::submission::Outcome;

/// Result of a cancelled job.
#[derive(Debug, Display, Serialize)]
#[display("cancelled: {}", text(*outcome))]
struct Ended {
    outcome: Outcome,
}

/// Cancels a job.
pub(crate) fn run(args: &Cancel, console: &Console) -> Result<Exit, Error> {
    let client = call::open(&args.entry)?;
    match smol::block_on(client.cancel(args.id))? {
        Cancelled::Ended(outcome) => console.print(&Ended { outcome }),
        Cancelled::Complete(answer) => {
            console.note(&"the job was complete before; this is its answer");
            console.print_json(&answer);
        }
    }
    Ok(Exit::Done)
}

fn text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "nothing of it ran",
        Outcome::MayHaveRun => "some of it may have run",
        Outcome::RanAndFailed => "it had run and failed",
    }
}
