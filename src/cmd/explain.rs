//! `primrosestep explain`.

use crate::{
    cli::Explain,
    exit::{Error, Exit},
};
use console::Console;
use explain::{Cause, History};
use std::{
    fs::File,
    io::{self, Read},
};

/// Prints the log lines about a job, and the cause of its end.
pub(crate) fn run(args: &Explain, console: &Console) -> Result<Exit, Error> {
    let mut log = Vec::new();
    if args.logs.is_empty() {
        io::stdin()
            .lock()
            .read_to_end(&mut log)
            .map_err(|source| Error::File { path: "-".into(), source })?;
    }
    for path in &args.logs {
        let read = File::open(path).and_then(|mut file| file.read_to_end(&mut log));
        let path = path.to_string_lossy().into();
        read.map_err(|source| Error::File { path, source })?;
        // The last line of a file may lack a line break.
        log.push(b'\n');
    }
    let history = History::find(&args.job, &String::from_utf8_lossy(&log));
    history.lines().iter().for_each(|line| console.print(&line.to_string()));
    let cause = history.cause();
    console.print(&format!("cause: {cause}"));
    Ok(if cause == Cause::Unknown { Exit::Failed } else { Exit::Done })
}
