//! Sends trial tasks to suspected endpoints and to isolated ones that are probed.
//!
//! A trial may fail, and a failed task fails its job unless it may be repeated. So trials use
//! repeatable single requests, and other tasks only when no such request has arrived for a while or
//! when most endpoints are on trial.

use super::{Pool, QueuedTask};
use site::{
    id::EndpointId,
    submission::Kind,
    unit::{Resources, Span, Time},
};

/// Time for which a trial waits for a repeatable request before any task may be used.
const TRIAL_WAIT: Span = Span::from_secs(10);

/// Maximum number of endpoints on trial that are tried for one task.
const MAX_TRIAL_ENDPOINTS: usize = 4;

impl Pool {
    /// Opens or closes an endpoint for placement, depending on its health and on whether it is
    /// leaving.
    pub(super) fn update_open(&mut self, now: Time, endpoint: EndpointId) {
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

    /// Whether an endpoint is leaving by its own report, the platform's list or the settings.
    fn is_leaving(&self, endpoint: EndpointId) -> bool {
        self.reported_leaving.contains(&endpoint)
            || self.listed_leaving.contains(&endpoint)
            || self.index.endpoints.get(&endpoint).is_none_or(|resolved| resolved.leaving)
    }

    /// Whether so many endpoints are on trial that the fault is probably not theirs.
    fn is_mostly_on_trial(&self) -> bool {
        self.trials.len() * 2 > self.share.usable_by_endpoint.len()
    }

    /// Chooses an endpoint on trial for this task and reserves its resources.
    pub(super) fn choose_trial(
        &mut self,
        now: Time,
        item: &QueuedTask,
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
                let due = harmless || now.since(**since) >= TRIAL_WAIT;
                due && !item.avoid.contains(id)
            })
            .map(|(id, _)| *id)
            .take(MAX_TRIAL_ENDPOINTS)
            .collect();
        offered.into_iter().find(|id| self.take_trial(now, *id, needs))
    }

    fn take_trial(&mut self, now: Time, endpoint: EndpointId, needs: &Resources) -> bool {
        if self.is_leaving(endpoint) || !self.health.is_open(endpoint) {
            return false;
        }
        // An endpoint on trial is closed to other tasks, and only an open one can be taken.
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
