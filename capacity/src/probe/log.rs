//! Measures writing lines of the decision log.

use super::{Sink, min_of_runs};
use crate::{Error, Point, Probe, Quantity, fake::load::home, measure::process_time};
use dispatch::{Decision, action::Source};
use site::{
    id::{EndpointId, FirmId, SubmissionId, TaskId, Token},
    unit::Time,
};
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use telemetry::Level;
use uuid::Uuid;

/// Numbers of lines logged in one burst; fewer than the log buffers.
const LINES: [usize; 3] = [500, 4_000, 15_000];

/// Number of times that each burst is written.
const ROUNDS: usize = 4;

/// Writer that counts the bytes written to it.
struct Counter(Arc<AtomicU64>);

impl Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

pub(super) fn measure(sink: &mut Sink<'_>) -> Result<(), Error> {
    LINES.into_iter().try_for_each(|lines| sink(min_of_runs(|| point(lines))?))
}

fn point(lines: usize) -> Result<Point, Error> {
    let (bytes, mut spent) = (Arc::new(AtomicU64::new(0)), 0);
    for _ in 0..ROUNDS {
        let (log, guard) = telemetry::start(Counter(bytes.clone()), Level::Info)?;
        let before = process_time();
        (0..lines).for_each(|number| log.log_decision(Time(number as u64), place_decision(number)));
        drop(guard);
        spent += process_time() - before;
        if log.dropped() > 0 {
            let (expected, found) = (lines as u64, lines as u64 - log.dropped());
            return Err(Error::Unexpected { probe: Probe::LogLine, expected, found });
        }
    }
    let each = (lines * ROUNDS) as f64;
    let values = [
        (Quantity::CpuNs, spent as f64 / each),
        (Quantity::WireBytes, bytes.load(Ordering::Relaxed) as f64 / each),
    ];
    Ok(Point::new(Probe::LogLine, lines, values))
}

fn place_decision(number: usize) -> Decision {
    let unique = Uuid::from_u64_pair(number as u64, u64::MAX);
    let submission = SubmissionId { token: Token { home: home(0, 0), epoch: 100 }, unique };
    Decision::Place {
        task: TaskId { submission, index: number as u16 % 780 },
        firm: FirmId::of("firm-1"),
        endpoint: EndpointId::of("worker-0-0001"),
        attempt: 1,
        source: Source::Kept,
        queued: 120,
        candidates: 40,
    }
}
