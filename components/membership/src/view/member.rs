//! State of one peer.

use crate::Options;
use site::unit::{Span, Time};

/// A peer that is not gone.
#[derive(Debug)]
pub(super) struct Member {
    /// When the view first learned of the peer.
    pub(super) known_since: Time,
    /// When the last message of the peer arrived. Set to the current time after a pause of the own
    /// process.
    pub(super) last_contact: Option<Time>,
    /// Whether a connection to it is up.
    pub(super) connected: bool,
    /// Whether a connection to it has failed since its last message.
    pub(super) failed: bool,
    /// Whether it admits no more submissions. Never unset.
    pub(super) draining: bool,
    /// Whether the latest registry list includes it.
    pub(super) registered: bool,
    /// Whether a message arrived within `suspect_after`, as of the last refresh or message.
    pub(super) alive: bool,
    /// How often the peer became unresponsive, each time within `flap_window` of the time before.
    flaps: u32,
    /// When it last became unresponsive.
    last_flap: Time,
    /// The peer is listed as live once a message arrives at or after this time.
    held_until: Time,
}

impl Member {
    pub(super) fn new(now: Time) -> Self {
        Self {
            known_since: now,
            last_contact: None,
            connected: false,
            failed: false,
            draining: false,
            registered: false,
            alive: false,
            flaps: 0,
            last_flap: Time(0),
            held_until: now,
        }
    }

    /// Records a message. Returns whether the peer was unresponsive or left its hold-down.
    pub(super) fn record_contact(&mut self, now: Time, options: &Options) -> bool {
        let was_held_down = self.is_held_down();
        self.last_contact = Some(now);
        self.failed = false;
        if self.alive {
            return was_held_down && !self.is_held_down();
        }
        self.alive = true;
        self.held_until = now + hold_down(self.flaps, options);
        true
    }

    /// Records that the peer is unresponsive but presumed live, which is not a flap.
    pub(super) fn mark_unresponsive(&mut self) {
        self.alive = false;
    }

    /// Records that the peer became unresponsive.
    pub(super) fn record_flap(&mut self, now: Time, options: &Options) {
        if now.since(self.last_flap) > options.flap_window {
            self.flaps = 0;
        }
        self.alive = false;
        self.flaps = self.flaps.saturating_add(1);
        self.last_flap = now;
    }

    /// Returns when the peer becomes unresponsive; in the past if it already is.
    pub(super) fn unresponsive_at(&self, options: &Options) -> Time {
        self.last_contact.map_or(Time(0), |last_contact| last_contact + options.suspect_after)
    }

    pub(super) fn is_unresponsive(&self, now: Time, options: &Options) -> bool {
        self.unresponsive_at(options) <= now
    }

    /// Returns whether the peer is kept out of the live members after repeated timeouts.
    pub(super) fn is_held_down(&self) -> bool {
        self.last_contact.is_some_and(|last_contact| last_contact < self.held_until)
    }

    /// Returns when the last message arrived, or when the view learned of the peer if none did.
    pub(super) fn last_contact_or_known_since(&self) -> Time {
        self.last_contact.unwrap_or(self.known_since)
    }
}

/// Returns the hold-down time: zero for the first timeout, then doubling from `suspect_after`.
fn hold_down(flaps: u32, options: &Options) -> Span {
    if flaps < 2 {
        return Span::ZERO;
    }
    let factor = 1u64 << (flaps - 2).min(16);
    Span(options.suspect_after.0.saturating_mul(factor)).min(options.max_hold_down)
}
