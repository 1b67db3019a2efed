//! Health monitor for all endpoints of a pool.

use crate::{
    base::Base,
    cause::CauseTracker,
    evidence::{CONFIRM_AFTER, Outcome},
    observation::{Attempt, Change, Observation, State},
    record::{MAX_LOST_TASKS, Record, SUSPECT_STREAK},
    rule::Rule,
    speed::Fleet,
};
use rustc_hash::FxHashMap;
use site::{
    id::EndpointId,
    unit::{Span, Time},
};
use std::collections::{BTreeSet, VecDeque};

/// If more than one endpoint in this many is failing, a common cause is assumed.
const COMMON_CAUSE_DIVISOR: usize = 3;
/// Consecutive failures from which an endpoint counts as failing.
const FAILING_STREAK: u32 = 2;
/// Time after its last failure for which an endpoint counts as failing.
const FAILING_WINDOW: Span = Span::from_secs(10);
/// Time after a success in which an endpoint is not blamed for a job that fails elsewhere, too.
const SUCCESS_WINDOW: Span = Span::from_secs(2);
/// Number of refusals that count as one failure.
const REFUSALS_PER_FAILURE: u32 = 2;
/// Share of the bits from which an endpoint is doubtful.
const DOUBT_SHARE: f32 = 0.5;
/// Minimum number of endpoints for the rule by likelihood.
const MIN_LIKELIHOOD_ENDPOINTS: usize = 20;
/// Time without a success after which a slow endpoint is treated as normal, so that it is used and
/// measured again.
const SLOW_EXPIRY: Span = Span::from_secs(10);

/// Monitors the attempts at the endpoints of one pool.
///
/// Every attempt is granted by [`try_acquire`](Self::try_acquire) and ended by one
/// [`observe`](Self::observe) or [`release`](Self::release). After any call for an endpoint,
/// [`is_open`](Self::is_open) returns whether it takes another attempt.
///
/// An endpoint that fails every attempt loses at most [`MAX_LOST_TASKS`](crate::MAX_LOST_TASKS)
/// tasks before it is isolated, or as many as were in flight when the first one failed. While more
/// than a third of the endpoints are failing, no further endpoint is isolated: a common cause is
/// assumed.
#[derive(Debug, Default)]
pub struct Monitor {
    rule: Rule,
    records: FxHashMap<EndpointId, Record>,
    /// Number of endpoints that count as failing.
    failing: usize,
    /// When to check again whether endpoints still count as failing, earliest first.
    marks: VecDeque<(Time, EndpointId)>,
    /// When the state of an endpoint may have to change. May contain timers that no longer apply.
    timers: BTreeSet<(Time, EndpointId)>,
    causes: CauseTracker,
    fleet: Fleet,
    /// Used by the rule by likelihood only.
    base: Base,
}

impl Monitor {
    /// Creates a monitor with the default rule and no endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a monitor with the given rule and no endpoints.
    pub fn with_rule(rule: Rule) -> Self {
        Self { rule, ..Self::default() }
    }

    /// Adds an endpoint. Does nothing if it is already known.
    pub fn insert(&mut self, id: EndpointId) {
        self.records.entry(id).or_default();
        self.base.set_endpoints(self.records.len());
    }

    /// Removes an endpoint and its history.
    pub fn remove(&mut self, id: EndpointId) {
        if let Some(record) = self.records.remove(&id) {
            self.failing -= usize::from(record.failing);
            self.base.set_endpoints(self.records.len());
        }
    }

    /// Returns the health state of the endpoint. An unknown one is open.
    pub fn state(&self, id: EndpointId) -> State {
        self.records.get(&id).map_or(State::Open, |record| record.state)
    }

    /// Returns whether the evidence is in favour of the endpoint being sick, though it is not
    /// isolated. Always false under other rules than [`Rule::Likelihood`], and while a common cause
    /// is assumed.
    pub fn is_doubtful(&self, id: EndpointId) -> bool {
        let Some(record) = self.records.get(&id) else { return false };
        !record.is_isolated_or_probing() && self.is_in_doubt(record) && !self.has_common_cause()
    }

    /// Returns the likelihood ratio of the endpoint being sick, as a binary logarithm, at its latest
    /// observation. `None` if the rule does not decide by it.
    pub fn ratio(&self, id: EndpointId) -> Option<f32> {
        self.ratio_limit()?;
        self.records.get(&id).map(|record| record.evidence.ratio())
    }

    /// Returns whether another attempt may start at the endpoint, without granting one.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.records.get(&id).is_some_and(Record::has_room)
    }

    /// Grants an attempt at the endpoint if another one may start, and returns whether it did.
    pub fn try_acquire(&mut self, now: Time, id: EndpointId) -> bool {
        let Some(record) = self.records.get_mut(&id) else { return false };
        if matches!(record.state, State::Isolated { until } if until <= now) {
            record.state = State::Probing;
        }
        let granted = record.has_room();
        record.in_flight += u32::from(granted);
        granted
    }

    /// Returns a grant that was not used.
    pub fn release(&mut self, id: EndpointId) {
        if let Some(record) = self.records.get_mut(&id) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of an attempt.
    pub fn observe(&mut self, now: Time, id: EndpointId, observation: Observation) -> Change {
        self.observe_attempt(now, id, observation, Attempt::default())
    }

    /// Records the outcome of an attempt whose start time or cause may be known.
    pub fn observe_attempt(
        &mut self,
        now: Time,
        id: EndpointId,
        observation: Observation,
        attempt: Attempt,
    ) -> Change {
        if observation != Observation::Straggling {
            self.release(id);
        }
        self.expire_marks(now);
        let failed_start = attempt.started.unwrap_or(now);
        match observation {
            Observation::Done { elapsed, expected } => {
                if let Some(cause) = attempt.cause {
                    self.causes.succeed(cause);
                }
                let started = attempt.started.unwrap_or(Time(now.0.saturating_sub(elapsed.0)));
                let slow = self.measure(now, id, elapsed, expected);
                self.succeed(now, id, started).unwrap_or(slow)
            }
            Observation::Straggling => self.straggle(now, id, failed_start),
            Observation::Refused => self.refuse(now, id),
            Observation::NotSent => self.fail(now, id, failed_start, true),
            Observation::Failed | Observation::Lost | Observation::TimedOut => {
                let blamed = attempt.cause.is_some_and(|cause| self.causes.fail(cause, id));
                if blamed && self.succeeded_recently(now, id) {
                    return Change::None;
                }
                let is_evidence = observation != Observation::Lost || self.is_first_loss(now, id);
                self.fail(now, id, failed_start, is_evidence)
            }
        }
    }

    /// Returns when [`tick`](Self::tick) must be called next; `None` without a timer.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|&(time, _)| time)
    }

    /// Handles the timers that are due, and appends the resulting changes to `out`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<(EndpointId, Change)>) {
        self.expire_marks(now);
        while let Some(&(time, id)) = self.timers.first()
            && time <= now
        {
            self.timers.pop_first();
            self.handle_timer(now, id, out);
        }
    }

    fn handle_timer(&mut self, now: Time, id: EndpointId, out: &mut Vec<(EndpointId, Change)>) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if matches!(record.state, State::Isolated { until } if until <= now) {
            record.state = State::Probing;
            out.push((id, Change::Probe));
        }
        if matches!(record.paused_until, Some(until) if until <= now) {
            record.paused_until = None;
            out.push((id, Change::Probe));
        }
        if let Some(change) = self.confirm_straggling(now, id) {
            out.push((id, change));
        }
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.speed.is_slow() {
            let since = record.last_success.unwrap_or(now);
            if now.since(since) >= SLOW_EXPIRY {
                record.speed.reset();
                out.push((id, Change::Slow(1.0)));
            } else {
                self.timers.insert((since + SLOW_EXPIRY, id));
            }
        }
    }

    fn succeeded_recently(&self, now: Time, id: EndpointId) -> bool {
        self.records
            .get(&id)
            .and_then(|record| record.last_success)
            .is_some_and(|success| now.since(success) <= SUCCESS_WINDOW)
    }

    /// Records how long a run took, and returns the change of its slowdown factor.
    fn measure(&mut self, now: Time, id: EndpointId, elapsed: Span, expected: Span) -> Change {
        let Some(record) = self.records.get_mut(&id) else { return Change::None };
        if record.state != State::Open {
            return Change::None;
        }
        let Some(factor) = record.speed.observe(&mut self.fleet, elapsed, expected) else {
            return Change::None;
        };
        if record.speed.is_slow() {
            self.timers.insert((now + SLOW_EXPIRY, id));
        }
        Change::Slow(factor)
    }

    /// Records a success. `None` if it does not restore the endpoint.
    fn succeed(&mut self, now: Time, id: EndpointId, started: Time) -> Option<Change> {
        let record = self.records.get_mut(&id)?;
        record.last_success = Some(now);
        record.refusals = 0;
        let was_working = !record.is_isolated_or_probing();
        let restored = record.succeed(now, started, self.rule);
        if was_working {
            self.learn(now, id, started, Outcome::Succeeded);
        }
        let record = self.records.get(&id)?;
        let is_failing = record.score.streak() >= FAILING_STREAK || self.is_in_doubt(record);
        if !record.is_isolated_or_probing() && !is_failing {
            self.clear_failing(id);
        }
        restored.then_some(Change::Restore)
    }

    fn refuse(&mut self, now: Time, id: EndpointId) -> Change {
        let Some(record) = self.records.get_mut(&id) else { return Change::None };
        record.refusals += 1;
        if record.refusals < REFUSALS_PER_FAILURE {
            return Change::None;
        }
        record.refusals = 0;
        self.fail(now, id, now, true)
    }

    /// Whether no other attempt was lost at the same moment. Those that end with a lease or a
    /// connection are a single event for the likelihood ratio.
    fn is_first_loss(&mut self, now: Time, id: EndpointId) -> bool {
        let Some(record) = self.records.get_mut(&id) else { return false };
        record.last_lost.replace(now) != Some(now)
    }

    /// Records a failure. `is_evidence` tells whether it counts for the likelihood ratio.
    fn fail(&mut self, now: Time, id: EndpointId, started: Time, is_evidence: bool) -> Change {
        let Some(record) = self.records.get_mut(&id) else { return Change::None };
        record.last_failure = now;
        match record.state {
            State::Isolated { .. } => return Change::None,
            State::Probing => return self.isolate(now, id),
            State::Open | State::Suspect => record.score.fail(started),
        }
        let streak = record.score.streak();
        if streak >= SUSPECT_STREAK {
            record.state = State::Suspect;
        }
        if is_evidence {
            self.learn(now, id, started, Outcome::Failed);
        }
        self.judge(now, id)
    }

    /// Records that an attempt straggles. It counts a little later, by a timer.
    fn straggle(&mut self, now: Time, id: EndpointId, started: Time) -> Change {
        let is_working = |record: &Record| !record.is_isolated_or_probing();
        if !self.records.get(&id).is_some_and(is_working) {
            return Change::None;
        }
        let from = now + CONFIRM_AFTER;
        if self.learn(now, id, started, Outcome::Straggling(from)) {
            self.timers.insert((from, id));
        }
        Change::None
    }

    /// Judges an endpoint again if it has straggling attempts.
    fn confirm_straggling(&mut self, now: Time, id: EndpointId) -> Option<Change> {
        let record = self.records.get_mut(&id)?;
        if record.is_isolated_or_probing() || !record.evidence.has_straggling() {
            return None;
        }
        record.last_failure = now;
        record.evidence.weigh(now, &self.base);
        let change = self.judge(now, id);
        (change != Change::None).then_some(change)
    }

    /// Records an outcome for the base rates and the likelihood ratio. Returns whether it counts.
    fn learn(&mut self, now: Time, id: EndpointId, started: Time, outcome: Outcome) -> bool {
        if !matches!(self.rule, Rule::Likelihood { .. }) {
            return false;
        }
        // Suspects would raise the rates that they are compared with.
        let counts = self
            .records
            .get(&id)
            .is_some_and(|record| self.has_common_cause() || !self.is_in_doubt(record));
        let Some(record) = self.records.get_mut(&id) else { return false };
        if !record.evidence.record(started, outcome, &self.base) {
            return false;
        }
        let own = &mut record.evidence.own;
        match outcome {
            _ if !counts => {}
            Outcome::Straggling(_) => self.base.straggle(own),
            outcome => self.base.end(outcome == Outcome::Failed, own),
        }
        record.evidence.weigh(now, &self.base);
        true
    }

    /// Isolates, pauses or doubts an endpoint, as its record demands after new evidence against it.
    fn judge(&mut self, now: Time, id: EndpointId) -> Change {
        let Some(record) = self.records.get(&id) else { return Change::None };
        let is_unhealthy = self.is_unhealthy(record);
        let is_in_doubt = self.is_in_doubt(record);
        if is_unhealthy || is_in_doubt || record.score.streak() >= FAILING_STREAK {
            self.mark_failing(now, id);
        }
        let has_common_cause = self.has_common_cause();
        let has_ratio = self.ratio_limit().is_some();
        let Some(record) = self.records.get_mut(&id) else { return Change::None };
        if (is_unhealthy || is_in_doubt) && !has_common_cause {
            self.base.withdraw(&mut record.evidence.own);
        }
        let was_reported = record.evidence.reported;
        record.evidence.reported = is_in_doubt;
        match is_unhealthy {
            // Pauses only affect suspects.
            true if has_common_cause && has_ratio && record.state == State::Open => Change::None,
            true if has_common_cause => self.pause(now, id),
            true => self.isolate(now, id),
            false if is_in_doubt && !was_reported => Change::Doubt,
            false => Change::None,
        }
    }

    /// The ratio at which endpoints are isolated, in bits, if the rule decides by it.
    fn ratio_limit(&self) -> Option<f32> {
        match self.rule {
            Rule::Likelihood { bits }
                if self.records.len() >= MIN_LIKELIHOOD_ENDPOINTS && self.base.is_known() =>
            {
                Some(bits as f32)
            }
            _ => None,
        }
    }

    fn is_unhealthy(&self, record: &Record) -> bool {
        match self.ratio_limit() {
            Some(limit) => {
                record.evidence.ratio() >= limit || record.score.streak() >= MAX_LOST_TASKS
            }
            None => record.score.is_unhealthy(self.rule),
        }
    }

    /// Returns whether the ratio is in favour of the endpoint being sick.
    fn is_in_doubt(&self, record: &Record) -> bool {
        self.ratio_limit().is_some_and(|limit| record.evidence.ratio() >= limit * DOUBT_SHARE)
    }

    /// Pauses an endpoint that would be isolated if fewer others were failing.
    fn pause(&mut self, now: Time, id: EndpointId) -> Change {
        if let Some(record) = self.records.get_mut(&id) {
            let until = record.pause(now);
            self.timers.insert((until, id));
        }
        Change::None
    }

    fn isolate(&mut self, now: Time, id: EndpointId) -> Change {
        let Some(record) = self.records.get_mut(&id) else { return Change::None };
        record.has_succeeded = false;
        let until = record.isolate(now);
        self.timers.insert((until, id));
        Change::Isolate { until }
    }

    /// Returns whether so many endpoints are failing that a common cause is assumed.
    fn has_common_cause(&self) -> bool {
        self.failing > (self.records.len() / COMMON_CAUSE_DIVISOR).max(1)
    }

    fn mark_failing(&mut self, now: Time, id: EndpointId) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if !record.failing {
            record.failing = true;
            self.failing += 1;
        }
        if !record.queued {
            record.queued = true;
            self.marks.push_back((now + FAILING_WINDOW, id));
        }
    }

    fn clear_failing(&mut self, id: EndpointId) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if record.failing {
            record.failing = false;
            self.failing -= 1;
        }
    }

    /// Clears the failing mark of endpoints whose last failure is older than the window.
    fn expire_marks(&mut self, now: Time) {
        while let Some(&(time, id)) = self.marks.front()
            && time <= now
        {
            self.marks.pop_front();
            let Some(record) = self.records.get_mut(&id) else { continue };
            record.queued = false;
            if !record.failing {
                continue;
            }
            if record.is_isolated_or_probing() || now.since(record.last_failure) < FAILING_WINDOW {
                record.queued = true;
                self.marks.push_back((now + FAILING_WINDOW, id));
            } else {
                // An endpoint that gets no work can't disprove what was found long ago.
                record.evidence.forget();
                self.clear_failing(id);
            }
        }
    }
}
