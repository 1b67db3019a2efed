//! The command `capacity slopes`, which runs all probes and prints the measurements as JSON lines.

use capacity::{Error, Machine, probe, slope::Line};
use std::io::{self, Write};

pub(crate) fn run() -> Result<(), Error> {
    let mut out = io::stdout().lock();
    write(&mut out, &Line::Machine(Machine::read()))?;
    probe::run_all(&mut |point| write(&mut out, &Line::Point(point)))
}

fn write(out: &mut impl Write, line: &Line) -> Result<(), Error> {
    serde_json::to_writer(&mut *out, line)?;
    writeln!(out)?;
    Ok(out.flush()?)
}
