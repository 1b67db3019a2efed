//! Detects that the process did not run for a while, so that events are waiting to be handled.

use crate::Event;
use site::unit::{Span, Time};

/// A longer pause between two events is a stall: with ticks every 20 ms, the process did not run. A
/// processor share of a quarter is given in slices that leave pauses of 75 ms.
const MIN_STALL: Span = Span::from_millis(80);

/// Number of ticks after a stall until what had arrived before its end is handled. The first one may
/// have been due in the stall.
const TICKS_TO_CATCH_UP: u8 = 2;

/// Whether the process has caught up with its events.
#[derive(Debug)]
pub(super) struct Progress {
    latest_event: Time,
    stall: Option<Stall>,
}

#[derive(Clone, Copy, Debug)]
struct Stall {
    /// The latest event before it.
    began: Time,
    ticks_left: u8,
}

impl Progress {
    pub(super) fn new(now: Time) -> Self {
        Self { latest_event: now, stall: None }
    }

    /// Records an event that is about to be handled; returns the time since the one before.
    pub(super) fn observe(&mut self, now: Time, event: &Event) -> Span {
        let (began, span) = (self.latest_event, now.since(self.latest_event));
        self.latest_event = now;
        // A process that stalls again and again has to catch up in the end.
        if self.stall.is_none() && span > MIN_STALL {
            self.stall = Some(Stall { began, ticks_left: TICKS_TO_CATCH_UP });
        }
        if let (Event::Tick, Some(stall)) = (event, &mut self.stall) {
            match stall.ticks_left.checked_sub(1) {
                Some(left) => stall.ticks_left = left,
                None => self.stall = None,
            }
        }
        span
    }

    /// Until when everything that arrived has been handled.
    pub(super) fn handled_until(&self, now: Time) -> Time {
        self.stall.map_or(now, |stall| stall.began)
    }

    /// Whether events that arrived in a stall may be waiting.
    pub(super) fn is_behind(&self) -> bool {
        self.stall.is_some()
    }
}
