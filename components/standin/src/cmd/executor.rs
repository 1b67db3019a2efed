//! `standin executor`.

use crate::{cli, cmd::duration};
use standin::{
    Ledger,
    executor::{Executor, Options},
};
use std::io;

/// Runs an executor.
pub(crate) fn run(args: cli::Executor) -> io::Result<()> {
    let options = Options {
        name: args.name,
        slots: args.slots,
        connections: args.connections,
        run_time: duration(args.run_time),
    };
    let executor = Executor::spawn(args.address, options, Ledger::default())?;
    super::serve(executor.address())
}
