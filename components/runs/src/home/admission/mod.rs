//! Decides whether a job is admitted or rejected at once.

mod common;
mod forecast;
mod shares;
mod window;

pub(super) use common::WaitEstimate;

use crate::{
    Job, Options,
    action::Flood,
    demand::{Demand, Group},
    load::Load,
    options::Policy,
};
use common::CommonLimit;
use shares::Shares;
use site::unit::{Span, Time};
use window::Window;

/// The ratio of rejected to admitted jobs, in thousandths, from which on retries are spread over
/// the whole time that the overload has lasted.
pub(super) const ALL_REFUSED: u64 = 1_000;

/// What the entries of a site report together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) load: Load,
    pub(crate) demand: Demand,
}

/// Decides which jobs are admitted.
#[derive(Debug)]
pub(super) struct Admission {
    policy: Policy,
    common: CommonLimit,
    window: Window,
    shares: Shares,
}

impl Admission {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            policy: options.admission_policy,
            common: CommonLimit::default(),
            window: Window::default(),
            shares: Shares::new(options.flood_percent),
        }
    }

    /// Estimates the wait of a job with this slack, and updates the averages. `totals` sums all
    /// known entries.
    pub(super) fn estimate_wait(
        &mut self,
        now: Time,
        job: &Job,
        slack: Span,
        totals: &Totals,
    ) -> WaitEstimate {
        let Totals { load, demand } = totals;
        let group = Group::of(job);
        self.shares.observe(now, demand);
        let floods = self.shares.classify(group);
        let common = self.common.estimate_wait(job.estimate, slack, load);
        let common = WaitEstimate { floods, ..common };
        if floods == Some(Flood::Surplus) && self.shares.is_scarce(now) {
            return WaitEstimate { limit: common::MIN_WAIT_LIMIT, ..common };
        }
        let regular = self.shares.without_surplus(demand);
        let limit = match self.policy {
            // The deadline is missed already, as for jobs that are submitted again: they are served
            // last.
            _ if slack == Span::ZERO => return common,
            Policy::Common => return common,
            Policy::Forecast if !forecast::is_comparable(demand) => return common,
            Policy::Forecast => forecast::limit(group, slack, common.limit, &regular),
        };
        let ahead = load.pending - demand.behind(slack, load);
        let wait = self.common.expected_wait(&Load { pending: ahead, ..*load });
        WaitEstimate { wait, limit: limit.max(common::MIN_WAIT_LIMIT), floods }
    }

    /// Rejected jobs of a job's group for each thousand admitted ones, as far as retries depend on
    /// it.
    pub(super) fn refusal_ratio(&self, job: &Job, demand: &Demand) -> u64 {
        let group = Group::of(job);
        let of_flood = self.shares.refusal_ratio(group, demand);
        of_flood.unwrap_or_else(|| match self.policy {
            Policy::Common => ALL_REFUSED,
            Policy::Forecast if !forecast::is_comparable(demand) => ALL_REFUSED,
            Policy::Forecast => forecast::refusal_ratio(group, demand),
        })
    }

    /// Records the arrival of a job.
    pub(super) fn arrived(&mut self, now: Time, job: &Job) {
        self.window.arrived(now, job);
    }

    /// Records the rejection of a job for lack of room, on arrival or later.
    /// Surplus jobs are left out: the limits of other groups must not shrink for their sake.
    pub(super) fn refused(&mut self, now: Time, job: &Job, floods: Option<Flood>) {
        match floods {
            Some(Flood::Surplus) => self.shares.rejected_surplus(now),
            _ => self.window.refused(now, job),
        }
    }

    /// The jobs of the last second.
    pub(super) fn demand(&self, now: Time) -> Demand {
        self.window.demand(now)
    }
}
