//! The command `capacity page`, which renders the page from measurements on standard input.

use capacity::{Error, Slopes, page};
use std::io;

pub(crate) fn run() -> Result<(), Error> {
    let slopes = Slopes::read(io::stdin().lock())?;
    print!("{}", page::render(&slopes)?);
    Ok(())
}
