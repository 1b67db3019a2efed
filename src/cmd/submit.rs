//! `primrosestep submit`.

use crate::{
    cli::Submit,
    cmd::{call, input},
    exit::{Error, Exit},
};
use client::Job;
use console::Console;
use derive_more::Display;
use serde::Serialize;

/// Result for a job that was submitted without waiting.
#[derive(Debug, Display, Serialize)]
#[display("{id}")]
struct Started {
    id: String,
}

/// Submits a job.
pub(crate) fn run(args: &Submit, console: &Console) -> Result<Exit, Error> {
    let client = call::open(&args.entry)?;
    let text = input::read(&args.file)?;
    let mut job: Job = serde_json::from_slice(&text)
        .map_err(|source| Error::Job { path: args.file.to_string_lossy().into(), source })?;
    job.deadline = args.deadline.or(job.deadline);
    smol::block_on(async {
        match args.no_wait {
            true => console.print(&Started { id: client.start_job(&job).await?.to_string() }),
            false => console.print_json(&client.job(&job).await?),
        }
        Ok(Exit::Done)
    })
}
