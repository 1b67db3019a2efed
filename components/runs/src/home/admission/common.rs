//! One limit of the wait for all jobs.
//!
//! Guards against lasting overload. Without it, jobs wait until they are almost late, nearly all of
//! them do, and what starts then ends late, first of all short jobs with many tasks. A job is
//! rejected if the pending work would occupy the executors for longer than `MAX_WAIT_PERCENT` of
//! the slack of the most urgent recent jobs. The slack is the time until the latest start at which
//! a job is still in time. There is one limit for all jobs, so that no kind of job is crowded out
//! by others that can wait longer.

use crate::{action::Flood, load::Load};
use site::unit::Span;

/// Percentage of the smallest slack that a job may spend waiting. The rest is for wrong estimates
/// and for the job's last task, which starts after its first.
const MAX_WAIT_PERCENT: u64 = 50;

/// A wait below this is always accepted: the reports that it is computed from are about as old.
pub(super) const MIN_WAIT_LIMIT: Span = Span::from_millis(10);

/// Number of jobs after which the slack of an earlier, more urgent job counts for little.
const MEMORY_JOBS: u64 = 64;

/// The expected wait of a job and its limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitEstimate {
    /// Expected wait; `None` while no executor is known.
    pub(crate) wait: Option<Span>,
    /// Longest wait at which the job is admitted.
    pub(crate) limit: Span,
    /// The part of a flooding class that the job counts in.
    pub(crate) floods: Option<Flood>,
}

impl WaitEstimate {
    /// Whether the job is admitted. A job whose wait is not known is, since executors may register
    /// at any moment.
    pub(crate) fn is_acceptable(&self) -> bool {
        self.wait.is_none_or(|wait| wait <= self.limit)
    }

    /// Pending work that has precedence over the job where there is room for it. Usually pending
    /// jobs can't use that room, or they would have been placed; but a home that knows of room may
    /// know of it before the homes of those jobs, and surplus jobs get only what others leave.
    pub(crate) fn precedes(&self, load: &Load) -> u64 {
        match self.floods {
            Some(Flood::Surplus) => load.pending,
            Some(Flood::Usual) | None => 0,
        }
    }
}

/// The limit for all jobs, learnt from the most urgent recent ones.
#[derive(Debug, Default)]
pub(super) struct CommonLimit {
    /// The slack of the most urgent recent jobs.
    tightest: Option<Span>,
    /// Moving average of the tasks' estimates.
    usual: Span,
}

impl CommonLimit {
    /// Estimates the wait of a job with this estimate and slack, and updates the averages. `load`
    /// is the sum over all known entries.
    pub(super) fn estimate_wait(
        &mut self,
        estimate: Span,
        slack: Span,
        load: &Load,
    ) -> WaitEstimate {
        self.learn(estimate, slack);
        let tightest = self.tightest.unwrap_or_default();
        let limit = Span(tightest.0 * MAX_WAIT_PERCENT / 100).max(MIN_WAIT_LIMIT);
        WaitEstimate { wait: self.expected_wait(load), limit, floods: None }
    }

    /// The expected wait behind the pending work of a load.
    pub(super) fn expected_wait(&self, load: &Load) -> Option<Span> {
        load.expected_wait(self.usual)
    }

    fn learn(&mut self, estimate: Span, slack: Span) {
        self.tightest = match self.tightest {
            // The deadline is missed already, as for jobs that are submitted again.
            old if slack == Span::ZERO => old,
            Some(old) if old < slack => Some(Span(old.0 + (slack.0 - old.0) / MEMORY_JOBS)),
            _ => Some(slack),
        };
        self.usual = match self.usual {
            Span::ZERO => estimate,
            old => Span((old.0 * (MEMORY_JOBS - 1) + estimate.0) / MEMORY_JOBS),
        };
    }
}
