//! The requests of one connection.

use crate::Moment;
use site::unit::Time;

/// Tracks when the requests of one connection can have arrived at the earliest.
///
/// A caller may send a request while the one before it is answered. Whatever is read then belongs to
/// the next request.
#[derive(Debug)]
pub struct Tracker {
    /// All that had arrived before this time has been read.
    emptied: Time,
    /// Whether the reader waits, so that it is woken when something arrives.
    waits: bool,
    phase: Phase,
    /// Earliest arrival of what was read of the current request; `None` before its first byte.
    current: Option<Time>,
    /// The same for what was read after the current request.
    next: Option<Time>,
    /// Earliest arrival of the request before the current one, which may have been read with it.
    previous: Time,
}

/// Progress of the current request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// It may not have been read to its end.
    Reading,
    /// It has been read, and has no response yet.
    Answering,
    /// It is not read to its end. Its rest may still arrive, and is discarded; where the next request
    /// begins is not known.
    Skipping,
}

impl Tracker {
    /// Creates the tracker of a new connection. `emptied` is the latest time at which there was no new
    /// connection to accept.
    pub fn new(emptied: Time) -> Self {
        Self {
            emptied,
            waits: true,
            phase: Phase::Reading,
            current: None,
            next: None,
            previous: emptied,
        }
    }

    /// Records that there was nothing to read, and that the reader waits.
    pub fn wait(&mut self, moment: Moment) {
        self.emptied = moment.now;
        self.waits = true;
    }

    /// Records that bytes were read. `stamp` is the kernel's time stamp of the last of them, by the
    /// wall clock; `is_all` is whether no more were there.
    pub fn read(&mut self, moment: Moment, stamp: Option<Time>, is_all: bool) {
        let known = match self.waits {
            true => self.emptied.max(moment.read_until),
            false => self.emptied,
        };
        let stamped = stamp.and_then(|stamp| moment.steady(stamp)).unwrap_or(known);
        let arrived = known.max(stamped).min(moment.now);
        match self.phase {
            Phase::Reading => self.current = self.current.or(Some(arrived)),
            Phase::Answering => self.next = self.next.or(Some(arrived)),
            // The latest read may be the first one of the next request.
            Phase::Skipping => self.current = Some(arrived),
        }
        self.waits = false;
        self.emptied = if is_all { moment.now } else { known };
    }

    /// The earliest time at which the current request can have arrived.
    pub fn arrived(&self) -> Time {
        self.current.unwrap_or(self.previous)
    }

    /// Records that the current request has been read to its end.
    pub fn end_request(&mut self) {
        self.phase = Phase::Answering;
    }

    /// Records that the rest of the current request is not read.
    pub fn skip_request(&mut self) {
        self.phase = Phase::Skipping;
    }

    /// Records that a response is written. Before the end of a request that is only an interim one.
    pub fn respond(&mut self) {
        self.waits = false;
        if self.phase == Phase::Reading {
            return;
        }
        self.previous = self.arrived();
        self.current = self.next.take();
        if self.phase == Phase::Answering {
            self.phase = Phase::Reading;
        }
    }
}
