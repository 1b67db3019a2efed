//! `primrosestep diff`.

use crate::{
    cli::Diff,
    cmd::store,
    exit::{Error, Exit},
};
use console::Console;

/// Prints the changes that applying a folder would make.
pub(crate) fn run(args: &Diff, console: &Console) -> Result<Exit, Error> {
    let folder = settings::load(&args.folder.dir)?;
    let client = store::open(&args.platform)?;
    let current = smol::block_on(store::current(&client))?;
    console.print(&store::changes(&current, &folder.files));
    Ok(Exit::Done)
}
