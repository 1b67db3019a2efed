//! What a pool does when time has passed.

use super::Pool;
use crate::{Action, Decision, action::Cause};
use health::Change;
use site::{
    id::EndpointId,
    unit::{Resources, Time},
};
use std::cmp::Reverse;

/// Factor from which a slow endpoint gets a task only when waiting would take longer. Smaller ones
/// are within what run times of 50 ms to 5 s show of an endpoint by chance.
const SLOW: f32 = 2.5;

impl Pool {
    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.release_holds(now);
        let mut changes = Vec::new();
        self.health.tick(now, &mut changes);
        for (endpoint, change) in changes {
            self.apply(now, endpoint, change, out);
        }
        self.settle(now, out);
    }

    /// When [`Pool::tick`] is due next.
    pub(crate) fn next_timer(&self) -> Time {
        let hold = self.holds.peek().map(|Reverse(hold)| hold.until);
        let parcel = self.share.parcel.due;
        let health = self.health.next_timer();
        let wish = self.next_wish();
        [hold, parcel, health, wish].into_iter().flatten().min().unwrap_or(Time::NEVER)
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

    /// Carries a change of an endpoint's health over to its placement.
    pub(super) fn apply(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        change: Change,
        out: &mut Vec<Action>,
    ) {
        let (open, cause) = match change {
            Change::None => return,
            Change::Slow(factor) => return self.set_speed(endpoint, factor),
            Change::Isolate { .. } => (false, Cause::Failures),
            Change::Probe => (true, Cause::Probe),
            Change::Restore => (true, Cause::Recovered),
        };
        out.push(Action::Log(Decision::Isolate { endpoint, open, cause }));
        self.reopen(now, endpoint);
    }

    fn set_speed(&mut self, endpoint: EndpointId, factor: f32) {
        match factor >= SLOW {
            true => self.slow.insert(endpoint, factor),
            false => self.slow.remove(&endpoint),
        };
        self.placement.set_slowdown(endpoint, factor);
    }
}
