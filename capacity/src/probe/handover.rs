//! Measures the handover of the submission table of a stopping entry.

use super::{Sink, encoded_len, min_of_runs};
use crate::{
    Error, Point, Probe, Quantity,
    fake::{
        folder::{CHECK, Folder},
        load::{Load, entry, home},
        peers,
    },
    measure::timed,
};
use dispatch::{Event, Message};
use site::unit::Span;

const TASKS: [usize; 3] = [1, 25, 125];

/// Total tasks of one measurement.
const TOTAL_TASKS: usize = 50_000;

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    TASKS.into_iter().try_for_each(|tasks| sink(min_of_runs(|| point(tasks))?))
}

/// Measures the processor time at both ends without encoding.
fn point(tasks: usize) -> Result<Point, Error> {
    let site = Folder { executors: 100, ..Folder::default() }.site()?;
    let (own, successor) = (home(0, 0), home(0, 1));
    let mut load = Load::new(entry(own, site.clone(), u32::MAX), CHECK, 4);
    let submissions = load.prepare(vec![tasks; TOTAL_TASKS / tasks]);
    load.run(submissions, Span(1_000));
    load.finish_all();
    peers::connect(&load.entry, load.now, &[successor], &mut Vec::new());
    load.sent.clear();
    let ((), mut time) = timed(|| load.handle(Event::Drain));
    let parts: Vec<Message> = load.sent.drain(..).map(|(_, message)| message).collect();
    let bytes = encoded_len(&parts)?;
    let messages = parts.len() as f64;
    let records = |part: &Message| match part {
        Message::Handover(handover) => handover.records.len() as u64,
        _ => 0,
    };
    let (expected, found) = ((TOTAL_TASKS / tasks) as u64, parts.iter().map(records).sum());
    if found != expected {
        return Err(Error::Unexpected { probe: Probe::Handover, expected, found });
    }
    let other = entry(successor, site, u32::MAX);
    peers::connect(&other, load.now, &[own], &mut Vec::new());
    let mut out = Vec::new();
    time += timed(|| {
        for message in parts {
            other.handle(load.now, Event::Message { from: own, message }, &mut out);
        }
    })
    .1;
    let each = found as f64;
    let values = [
        (Quantity::CpuNs, time / each),
        (Quantity::WireBytes, bytes / each),
        (Quantity::Messages, messages / each),
    ];
    Ok(Point::new(Probe::Handover, tasks, values))
}
