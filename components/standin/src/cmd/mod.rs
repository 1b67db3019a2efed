//! The subcommands.

mod executor;
mod platform;
mod worker;

use crate::cli::Command;
use serde_json::json;
use site::unit::Span;
use std::{future::pending, io, net::SocketAddr, time::Duration};

/// Runs a stand-in until the process is killed.
pub(crate) fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Platform(args) => platform::run(&args),
        Command::Executor(args) => executor::run(args),
        Command::Worker(args) => worker::run(args),
    }
}

/// Prints the stand-in's address as one line of JSON and blocks while it serves.
fn serve(address: SocketAddr) -> io::Result<()> {
    println!("{}", json!({"address": address}));
    smol::block_on(pending())
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}
