//! Likelihood ratio of an endpoint being sick, from the outcomes of its attempts.

use crate::base::{Base, Counts};
use site::unit::{Span, Time};
use std::collections::VecDeque;

/// Share of the attempts that a sick endpoint is assumed to fail, and the same share that it lets
/// hang, beyond what the other endpoints do.
const SICK_SHARE: f32 = 0.15;
/// Number of latest attempts whose outcomes are weighed again whenever the base rates change, and
/// among which an outcome that is known late takes its place by start.
const WINDOW: usize = 64;
/// Time after which a straggling report counts. If the caller of the monitor did not run for a
/// moment, all attempts seem to straggle until it has read the answers that arrived meanwhile.
pub(crate) const CONFIRM_AFTER: Span = Span::from_millis(50);

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    Succeeded,
    /// It takes longer than it should, and counts from this time on.
    Straggling(Time),
    Failed,
}

/// An attempt and how it is weighed.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    started: Time,
    outcome: Outcome,
    /// What it adds to the ratio, in bits. Falls with rising base rates and never rises: it would be
    /// compared with rates of a later time when errors that were frequent everywhere have ended.
    weight: f32,
}

/// A sequential probability ratio test: "sick" against "as the other endpoints".
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// The latest attempts, in the order of their starts.
    attempts: VecDeque<Attempt>,
    /// Number of `attempts` that did not succeed.
    bad: usize,
    /// The ratio before the first of `attempts`, in bits.
    carried: f32,
    /// Attempts that started earlier are ignored.
    since: Time,
    /// The ratio at the latest observation, in bits. Never negative.
    ratio: f32,
    /// Whether the endpoint was reported as doubtful.
    pub(crate) reported: bool,
    /// What the endpoint contributes to the base rates.
    pub(crate) own: Counts,
}

impl Evidence {
    /// The ratio at the latest observation, as a binary logarithm.
    pub(crate) fn ratio(&self) -> f32 {
        self.ratio
    }

    /// Returns whether an attempt is known to straggle.
    pub(crate) fn has_straggling(&self) -> bool {
        self.bad > 0
            && self.attempts.iter().any(|known| matches!(known.outcome, Outcome::Straggling(_)))
    }

    /// Forgets all attempts, and ignores those that started before `since`.
    pub(crate) fn reset(&mut self, since: Time) {
        self.forget();
        self.since = since;
    }

    /// Forgets all attempts.
    pub(crate) fn forget(&mut self) {
        self.attempts.clear();
        self.bad = 0;
        self.carried = 0.0;
        self.ratio = 0.0;
        self.reported = false;
    }

    /// Records an outcome. The end of an attempt replaces its straggling report, so that no attempt
    /// counts twice. Returns whether it is evidence.
    pub(crate) fn record(&mut self, started: Time, outcome: Outcome, base: &Base) -> bool {
        if started < self.since {
            return false;
        }
        let attempt =
            Attempt { started, outcome, weight: Weights::new(base, &self.own).of(outcome) };
        let at = self.attempts.partition_point(|other| other.started < started);
        let same_start = self.attempts.range_mut(at..).take_while(|other| other.started == started);
        let mut reported =
            same_start.filter(|known| matches!(known.outcome, Outcome::Straggling(_)));
        if let Some(known) = reported.next() {
            *known = attempt;
            self.bad -= usize::from(outcome == Outcome::Succeeded);
            return true;
        }
        if self.attempts.len() == WINDOW {
            if at == 0 {
                return false;
            }
            self.carry_first();
        }
        let at = self.attempts.partition_point(|other| other.started <= started);
        self.attempts.insert(at, attempt);
        self.bad += usize::from(outcome != Outcome::Succeeded);
        true
    }

    /// Adds the first attempt to the carried ratio.
    fn carry_first(&mut self) {
        let Some(first) = self.attempts.pop_front() else { return };
        self.bad -= usize::from(first.outcome != Outcome::Succeeded);
        self.carried = (self.carried + first.weight).max(0.0);
    }

    /// Weighs the attempts by the current base rates.
    pub(crate) fn weigh(&mut self, now: Time, base: &Base) {
        self.ratio = self.carried;
        if self.bad == 0 && self.carried == 0.0 {
            return;
        }
        let weights = Weights::new(base, &self.own);
        for attempt in &mut self.attempts {
            attempt.weight = attempt.weight.min(weights.of(attempt.outcome));
            let counts = !matches!(attempt.outcome, Outcome::Straggling(from) if from > now);
            self.ratio = (self.ratio + if counts { attempt.weight } else { 0.0 }).max(0.0);
        }
    }
}

/// What each outcome adds to the ratio, in bits.
struct Weights {
    succeeded: f32,
    straggling: f32,
    failed: f32,
}

impl Weights {
    fn new(base: &Base, own: &Counts) -> Self {
        let rates = base.rates_without(own);
        let usual = 1.0 - 2.0 * SICK_SHARE;
        let weight = |rate: f32| ((rate * usual + SICK_SHARE) / rate).log2();
        Self {
            succeeded: usual.log2(),
            straggling: weight(rates.straggling).max(0.0),
            failed: weight(rates.failed).max(0.0),
        }
    }

    fn of(&self, outcome: Outcome) -> f32 {
        match outcome {
            Outcome::Succeeded => self.succeeded,
            Outcome::Straggling(_) => self.straggling,
            Outcome::Failed => self.failed,
        }
    }
}
