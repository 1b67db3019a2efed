//! Health record of one endpoint.

use crate::{
    evidence::Evidence,
    observation::State,
    rule::{Rule, Score},
    speed::Speed,
};
use site::unit::{Span, Time};

/// Consecutive failures from which an endpoint takes one attempt at a time.
pub(crate) const SUSPECT_STREAK: u32 = 3;
/// Maximum number of consecutive tasks that an endpoint loses before it is isolated, if no more
/// than these were in flight when the first one failed.
pub const MAX_LOST_TASKS: u32 = 8;
/// Duration of the first isolation. Doubles with each failed probe.
pub(crate) const FIRST_INTERVAL: Span = Span::from_secs(1);
/// Maximum duration of an isolation.
pub(crate) const MAX_INTERVAL: Span = Span::from_secs(60);
/// First and longest pause between attempts at an endpoint that fails while many others fail, too.
const FIRST_PAUSE: Span = Span::from_millis(10);
const MAX_PAUSE: Span = Span::from_secs(1);
/// Consecutive probes that must succeed before the endpoint is restored.
const PROBES_TO_RESTORE: u32 = 2;
/// Time since the last restore after which the next isolation starts with the first interval.
pub(crate) const INTERVAL_RESET_AFTER: Span = Span::from_secs(120);

/// Health record of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) state: State,
    /// Attempts that were granted and whose outcome is not yet recorded.
    pub(crate) in_flight: u32,
    pub(crate) score: Score,
    /// Whether an attempt has succeeded since the endpoint was added or last restored after an
    /// isolation. Successful probes do not count.
    pub(crate) has_succeeded: bool,
    pub(crate) last_success: Option<Time>,
    pub(crate) last_failure: Time,
    /// Whether the monitor counts it as failing.
    pub(crate) failing: bool,
    /// Whether `Monitor::marks` has an item for it.
    pub(crate) queued: bool,
    /// Refusals since the last one that counted as a failure.
    pub(crate) refusals: u32,
    /// Consecutive successful probes.
    pub(crate) probes: u32,
    /// Duration of the latest isolation.
    pub(crate) interval: Span,
    pub(crate) restored: Option<Time>,
    /// When a paused endpoint takes the next attempt; `None` if it is not paused.
    pub(crate) paused_until: Option<Time>,
    /// Duration of the latest pause; zero after a success.
    pub(crate) pause: Span,
    pub(crate) speed: Speed,
    /// When an attempt was last lost.
    pub(crate) last_lost: Option<Time>,
    /// Used by the rule by likelihood only.
    pub(crate) evidence: Evidence,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            state: State::Open,
            in_flight: 0,
            score: Score::default(),
            has_succeeded: false,
            last_success: None,
            last_failure: Time(0),
            failing: false,
            queued: false,
            refusals: 0,
            probes: 0,
            interval: Span::ZERO,
            restored: None,
            paused_until: None,
            pause: Span::ZERO,
            speed: Speed::default(),
            last_lost: None,
            evidence: Evidence::default(),
        }
    }
}

impl Record {
    /// Returns whether another attempt may start.
    pub(crate) fn has_room(&self) -> bool {
        match self.state {
            State::Open if self.has_succeeded && self.score.streak() == 0 => true,
            State::Open => self.in_flight + self.score.streak() < MAX_LOST_TASKS,
            State::Suspect => self.in_flight == 0 && !self.is_paused(),
            State::Probing => self.in_flight == 0,
            State::Isolated { .. } => false,
        }
    }

    /// Returns whether it is paused after a failure.
    pub(crate) fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Pauses a suspect for twice as long as last time and returns the end of the pause.
    pub(crate) fn pause(&mut self, now: Time) -> Time {
        self.pause = Span(self.pause.0 * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        let until = now + self.pause;
        self.paused_until = Some(until);
        until
    }

    /// Returns whether it is isolated or probing.
    pub(crate) fn is_isolated_or_probing(&self) -> bool {
        matches!(self.state, State::Isolated { .. } | State::Probing)
    }

    /// Isolates it, for twice as long as last time unless its last restore was long ago. Returns
    /// the end.
    pub(crate) fn isolate(&mut self, now: Time) -> Time {
        let is_reset =
            self.restored.is_some_and(|restored| now.since(restored) >= INTERVAL_RESET_AFTER);
        let doubled = Span(self.interval.0 * 2).min(MAX_INTERVAL);
        self.interval = if is_reset { FIRST_INTERVAL } else { doubled.max(FIRST_INTERVAL) };
        let until = now + self.interval;
        self.state = State::Isolated { until };
        self.probes = 0;
        self.paused_until = None;
        until
    }

    /// Records a success of an attempt that started at `started`. Returns whether this restored the
    /// endpoint.
    pub(crate) fn succeed(&mut self, now: Time, started: Time, rule: Rule) -> bool {
        match self.state {
            State::Open => self.has_succeeded = true,
            State::Suspect => {}
            State::Isolated { .. } => return false,
            State::Probing => return self.record_probe_success(now),
        }
        self.score.succeed(rule, started);
        if self.state == State::Open || self.score.streak() >= SUSPECT_STREAK {
            return false;
        }
        self.state = State::Open;
        self.paused_until = None;
        self.pause = Span::ZERO;
        true
    }

    fn record_probe_success(&mut self, now: Time) -> bool {
        self.probes += 1;
        if self.probes < PROBES_TO_RESTORE {
            return false;
        }
        self.state = State::Open;
        self.score = Score::default();
        self.evidence.reset(now);
        self.restored = Some(now);
        true
    }
}
