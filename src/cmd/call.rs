//! Client for the entries.

use crate::{cli::Entry, exit::Error};
use client::Client;

/// Creates a client for the entries and the key in the arguments.
pub(crate) fn open(args: &Entry) -> Result<Client, Error> {
    if args.entry.is_empty() {
        return Err(Error::Missing {
            what: "the address of an entry",
            option: "entry",
            variable: "PRIMROSESTEP_ENTRY",
        });
    }
    let key = args.key.clone().ok_or(Error::Missing {
        what: "the key",
        option: "key",
        variable: "PRIMROSESTEP_KEY",
    })?;
    Ok(Client::new(args.entry.iter().copied(), key)?)
}
