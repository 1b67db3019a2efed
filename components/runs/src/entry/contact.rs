//! Signs of life of peers.
//!
//! A keeper vouches for a run only while the run's home does. What counts is the time at which the
//! home sent its latest sign: the keeper may handle it much later, when the home is gone. Each sign
//! echoes the receiver's latest one, so that the receiver can date it by its own clock.

use crate::{
    clock::PeerClock,
    message::{Echo, Sign},
};
use site::unit::{Span, Time};

/// What a connected peer has let this entry know of itself.
#[derive(Debug)]
pub(super) struct Contact {
    /// When its connection came up or its latest message was handled.
    pub(super) heard: Time,
    /// Whether the leases of its runs may be extended.
    pub(super) standing: Standing,
    clock: PeerClock,
    /// When it was certainly alive, by this entry's clock; `None` before a sign can be dated.
    alive: Option<Time>,
    /// Its latest sign, which the next sign to it echoes.
    latest: Option<Echo>,
    /// When it was last sent a sign, and whether that could be dated.
    signed: Option<(Time, bool)>,
}

/// Whether a keeper may vouch for the runs of a home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// It was alive lately.
    Alive,
    /// Its latest sign is too old, but later ones may be waiting to be handled.
    Overdue,
    /// It is considered lost, and its runs were stopped.
    Lost,
}

impl Contact {
    pub(super) fn new(now: Time) -> Self {
        Self {
            heard: now,
            standing: Standing::Lost,
            clock: PeerClock::default(),
            alive: None,
            latest: None,
            signed: None,
        }
    }

    /// Handles a sign.
    pub(super) fn observe(&mut self, now: Time, sign: Sign) {
        // One that was sent before the connection came up tells nothing later.
        if let Some(echo) = sign.echo.filter(|echo| echo.alive <= now) {
            self.clock.update(now, echo.handled, echo.alive);
        }
        let alive = self.clock.earliest(sign.alive).map(|alive| alive.min(now));
        self.alive = self.alive.max(alive);
        self.latest = Some(Echo { alive: sign.alive, handled: now });
    }

    /// How long ago the peer was certainly alive; `None` if no sign could be dated yet.
    pub(super) fn silence(&self, now: Time) -> Option<Span> {
        self.alive.map(|alive| now.since(alive))
    }

    /// How long ago the peer's clock showed `sent` at most; `None` if that is not known.
    pub(super) fn age(&self, now: Time, sent: Time) -> Option<Span> {
        self.clock.earliest(sent).map(|sent| now.since(sent))
    }

    /// The next sign to the peer, from an entry that vouches for its jobs until `alive`.
    pub(super) fn sign(&mut self, now: Time, alive: Time) -> Sign {
        self.signed = Some((now, self.latest.is_some()));
        Sign { alive, echo: self.latest }
    }

    /// Whether the peer needs a sign, since its latest one is older than `limit` or could not be
    /// dated.
    pub(super) fn needs_sign(&self, now: Time, limit: Span) -> bool {
        self.signed.is_none_or(|(at, is_dated)| now.since(at) >= limit || !is_dated)
    }
}
