//! Counts the jobs of the last second by group.

use crate::{
    Job,
    demand::{Count, Demand, Group},
};
use site::unit::{Span, Time};

/// Length of the window. Long enough that each class of a site has some jobs in it, and short
/// against a peak of a few seconds.
const WINDOW: Span = Span::from_secs(1);

/// The counts of the current and the previous window. The previous one counts for the part of it
/// that is less than a window ago.
#[derive(Debug, Default)]
pub(super) struct Window {
    began: Time,
    current: Demand,
    previous: Demand,
}

impl Window {
    /// Counts the arrival of a job.
    pub(super) fn arrived(&mut self, now: Time, job: &Job) {
        self.add(now, job, Count { asked: 1, ..Count::default() });
    }

    /// Counts the rejection of a job.
    pub(super) fn refused(&mut self, now: Time, job: &Job) {
        self.add(now, job, Count { refused: 1, ..Count::default() });
    }

    /// The counts of the last second.
    pub(super) fn demand(&self, now: Time) -> Demand {
        let age = now.since(self.began).0;
        let (current, previous) = self.shifted(age / WINDOW.0);
        let left = WINDOW.0 - age % WINDOW.0;
        [current, previous.part(left, WINDOW.0)].into_iter().sum()
    }

    fn add(&mut self, now: Time, job: &Job, count: Count) {
        let windows = now.since(self.began).0 / WINDOW.0;
        (self.current, self.previous) = self.shifted(windows);
        self.began = Time(self.began.0 + windows * WINDOW.0);
        self.current.add(Group::of(job), count);
    }

    /// The current and the previous counts after a number of windows without jobs.
    fn shifted(&self, windows: u64) -> (Demand, Demand) {
        match windows {
            0 => (self.current, self.previous),
            1 => (Demand::default(), self.current),
            _ => (Demand::default(), Demand::default()),
        }
    }
}
