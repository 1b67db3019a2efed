//! `primrosestep explain`.

use crate::{
    cli::Explain,
    exit::{Error, Exit},
};
use console::Console;
use explain::{Cause, Story};
use std::{
    fs::File,
    io::{self, BufRead, BufReader},
};

/// Prints what logs say of a job, and the cause of its end.
pub(crate) fn run(args: &Explain, console: &Console) -> Result<Exit, Error> {
    let mut story = Story::new(&args.job);
    if args.logs.is_empty() {
        read(io::stdin().lock(), &mut story)
            .map_err(|source| Error::File { path: "-".into(), source })?;
    }
    for path in &args.logs {
        let file = File::open(path).and_then(|file| read(BufReader::new(file), &mut story));
        let path = path.to_string_lossy().into();
        file.map_err(|source| Error::File { path, source })?;
    }
    story.lines().iter().for_each(|line| console.print(&line.to_string()));
    let cause = story.cause();
    console.print(&format!("cause: {cause}"));
    Ok(if cause == Cause::Unknown { Exit::Failed } else { Exit::Done })
}

fn read(lines: impl BufRead, story: &mut Story) -> io::Result<()> {
    for line in lines.split(b'\n') {
        story.add(&String::from_utf8_lossy(&line?));
    }
    Ok(())
}
