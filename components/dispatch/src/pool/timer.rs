//! Handles the timers of a pool.

use super::Pool;
use crate::{Action, Decision, action::Cause};
use health::Change;
use site::{
    id::EndpointId,
    unit::{Resources, Time},
};
use std::cmp::Reverse;

/// Minimum slowdown factor at which an endpoint gets a task only when waiting would take longer.
/// Smaller factors are within the random variation that run times of 50 ms to 5 s show.
const SLOW_FACTOR: f32 = 2.5;

impl Pool {
    /// Handles all timers that are due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.release_holds(now);
        let mut changes = Vec::new();
        self.health.tick(now, &mut changes);
        for (endpoint, change) in changes {
            self.apply_health(now, endpoint, change, out);
        }
        self.schedule(now, out);
    }

    /// Returns when [`Pool::tick`] is due next.
    pub(crate) fn next_timer(&self) -> Time {
        let hold = self.holds.peek().map(|Reverse(hold)| hold.until);
        let outbox = self.share.outbox.due;
        let health = self.health.next_timer();
        let request = self.next_capacity_request();
        [hold, outbox, health, request].into_iter().flatten().min().unwrap_or(Time::NEVER)
    }

    fn release_holds(&mut self, now: Time) {
        while let Some(Reverse(hold)) = self.holds.peek().copied() {
            if hold.until > now {
                return;
            }
            self.holds.pop();
            self.placement.release(hold.endpoint, &Resources::SLOT);
        }
    }

    /// Applies a change of an endpoint's health to its placement and logs it.
    pub(super) fn apply_health(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        let (open, cause) = match change {
            Change::None | Change::Doubt => return,
            Change::Slow(factor) => return self.set_speed(endpoint, factor),
            Change::Isolate { .. } => (false, Cause::Failures),
            Change::Probe => (true, Cause::Probe),
            Change::Restore => (true, Cause::Recovered),
        };
        out.push(Action::Log(Decision::Isolate { endpoint, open, cause }));
        self.update_open(now, endpoint);
    }

    fn set_speed(&mut self, endpoint: EndpointId, factor: f32) {
        match factor >= SLOW_FACTOR {
            true => self.slow_factors.insert(endpoint, factor),
            false => self.slow_factors.remove(&endpoint),
        };
        self.placement.set_slowdown(endpoint, factor);
    }
}
