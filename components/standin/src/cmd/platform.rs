//! `standin platform`.

use crate::cli;
use standin::platform::Platform;
use std::io;

/// Runs the platform's key-value service.
pub(crate) fn run(args: &cli::Platform) -> io::Result<()> {
    let platform = Platform::spawn(args.address)?;
    super::serve(platform.address())
}
