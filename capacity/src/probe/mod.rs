//! The probes, each of which measures one part of an entry at several sizes.

mod call;
mod claim;
mod connection;
mod endpoint;
mod forward;
mod handover;
mod heartbeat;
mod lend;
mod log;
mod request;
mod settings;
mod start;
mod table;
mod usage;

use crate::{Error, Point};
use dispatch::Message;
use wire::{Frame, Limit};

/// Callback that receives each measurement as soon as it is taken.
pub type Sink<'a> = dyn FnMut(Point) -> Result<(), Error> + 'a;

/// Runs all probes.
///
/// # Errors
///
/// Returns an error if a measurement fails or `sink` does.
pub fn run_all(sink: &mut Sink<'_>) -> Result<(), Error> {
    table::measure(sink)?;
    start::measure(sink)?;
    forward::measure(sink)?;
    lend::measure(sink)?;
    endpoint::measure(sink)?;
    heartbeat::measure(sink)?;
    usage::measure(sink)?;
    settings::measure(sink)?;
    claim::measure(sink)?;
    handover::measure(sink)?;
    call::measure(sink)?;
    request::measure(sink)?;
    log::measure(sink)?;
    connection::measure(sink)
}

/// Number of runs of one measurement.
const RUNS: usize = 3;

/// Returns the minimum of each value over a few runs, since other load on the machine only adds to
/// them.
fn min_of_runs(measure: impl Fn() -> Result<Point, Error>) -> Result<Point, Error> {
    let mut best = measure()?;
    for _ in 1..RUNS {
        for (quantity, value) in measure()?.values {
            best.values.entry(quantity).and_modify(|least| *least = least.min(value));
        }
    }
    Ok(best)
}

/// Encodes a message as it is sent over a connection.
fn encode(message: &Message) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    Frame::new(message.clone()).encode(Limit::default(), &mut bytes)?;
    Ok(bytes)
}

/// Returns the total encoded length of `messages` in bytes.
fn encoded_len<'a>(messages: impl IntoIterator<Item = &'a Message>) -> Result<f64, Error> {
    messages.into_iter().map(|message| Ok(encode(message)?.len() as f64)).sum()
}
