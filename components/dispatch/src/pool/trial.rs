//! Endpoints that are tried: suspected ones, and isolated ones that are probed.
//!
//! A trial may fail, and a failed task fails its job unless it may be repeated. So trials are made
//! with repeatable single requests, and with other tasks only when none of those came for a while
//! or when most endpoints are on trial.

use super::{Item, Pool};
use site::{
    id::EndpointId,
    submission::Kind,
    unit::{Resources, Span, Time},
};

/// How long a trial waits for a repeatable request.
const PATIENCE: Span = Span::from_secs(10);

/// Endpoints on trial that one task is offered to.
const MAX_OFFERS: usize = 4;

impl Pool {
    /// Opens or closes an endpoint to work as its health and its leaving allow.
    pub(super) fn reopen(&mut self, now: Time, endpoint: EndpointId) {
        let usable = !self.is_leaving(endpoint) && self.health.is_open(endpoint);
        let state = self.health.state(endpoint);
        let on_trial = matches!(state, health::State::Suspect | health::State::Probing);
        if on_trial {
            self.trials.entry(endpoint).or_insert(now);
        } else {
            self.trials.remove(&endpoint);
        }
        let restricted = on_trial && !self.is_mostly_on_trial();
        self.placement.set_open(endpoint, usable && !restricted);
    }

    /// Whether an endpoint is leaving by its own answer, the platform's list or the settings.
    fn is_leaving(&self, endpoint: EndpointId) -> bool {
        self.said_leaving.contains(&endpoint)
            || self.listed_leaving.contains(&endpoint)
            || self.index.endpoints.get(&endpoint).is_none_or(|spot| spot.leaving)
    }

    /// Whether so many endpoints are on trial that the cause is likely elsewhere.
    fn is_mostly_on_trial(&self) -> bool {
        self.trials.len() * 2 > self.share.counted.len()
    }

    /// An endpoint on trial for this task, its resources taken.
    pub(super) fn choose_trial(
        &mut self,
        now: Time,
        item: &Item,
        needs: &Resources,
    ) -> Option<EndpointId> {
        if self.trials.is_empty() {
            return None;
        }
        let submission = &item.job.submission;
        let harmless = submission.kind == Kind::Single && submission.repeatable;
        let offered: Vec<_> = self
            .trials
            .iter()
            .filter(|(id, since)| {
                let due = harmless || now.since(**since) >= PATIENCE;
                due && !item.avoid.contains(id)
            })
            .map(|(id, _)| *id)
            .take(MAX_OFFERS)
            .collect();
        offered.into_iter().find(|id| self.take_trial(now, *id, needs))
    }

    fn take_trial(&mut self, now: Time, endpoint: EndpointId, needs: &Resources) -> bool {
        if self.is_leaving(endpoint) || !self.health.is_open(endpoint) {
            return false;
        }
        self.placement.set_open(endpoint, true);
        let taken = self.placement.take(endpoint, needs);
        self.placement.set_open(endpoint, false);
        if taken && !self.health.try_acquire(now, endpoint) {
            self.placement.release(endpoint, needs);
            return false;
        }
        if taken {
            self.trials.insert(endpoint, now);
        }
        taken
    }
}
