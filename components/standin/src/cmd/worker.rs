//! `standin worker`.

use crate::{cli, cmd::duration};
use standin::{
    Ledger,
    worker::{Options, Worker},
};
use std::io;

/// Runs a worker.
pub(crate) fn run(args: cli::Worker) -> io::Result<()> {
    let options = Options {
        name: args.name,
        cores: args.cores,
        memory: args.memory,
        accelerators: args.accelerators,
        connections: args.connections,
        run_time: duration(args.run_time),
        usage_interval: duration(args.usage_interval),
    };
    let worker = Worker::spawn(args.address, options, Ledger::default())?;
    super::serve(worker.address())
}
