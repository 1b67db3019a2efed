//! Whether a job is taken in or turned away at once.
//!
//! Answers lasting overload. Without it jobs wait until they are almost late, nearly all of them do,
//! and what starts then ends late, short wide jobs first. A job is turned away if those that wait already would take up the
//! executors for longer than `LIMIT_PERCENT` of the slack of the most pressing jobs that come. One
//! limit for all, so that no kind of job is crowded out by others that can wait for longer.

use crate::load::Load;
use site::unit::Span;

/// The part of the tightest slack that may be spent on waiting. The rest is for estimates that are
/// off and for the last of a job's tasks, which starts after the first.
const LIMIT_PERCENT: u64 = 50;

/// Waiting for less than this is always accepted: what entries know of each other is about as old.
const LEAST_LIMIT: Span = Span::from_millis(10);

/// Jobs after which the slack of an earlier, more pressing one counts for little.
const MEMORY: u64 = 64;

/// What a job may expect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outlook {
    /// How long it would wait; `None` while no executor is known, so that nothing can be foreseen.
    pub(crate) wait: Option<Span>,
    /// How long it may wait.
    pub(crate) limit: Span,
}

impl Outlook {
    /// Whether the job is to be taken in. One may be whose wait is not known: executors may come at
    /// any moment.
    pub(crate) fn is_fair(&self) -> bool {
        self.wait.is_none_or(|wait| wait <= self.limit)
    }
}

/// Decides which jobs are taken in.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// The slack of the most pressing jobs of late.
    tightest: Option<Span>,
    /// How long tasks usually take, by their estimates.
    usual: Span,
}

impl Admission {
    /// What a job of that estimate and slack may expect. `load` is that of all entries that are known.
    pub(crate) fn outlook(&mut self, estimate: Span, slack: Span, load: &Load) -> Outlook {
        self.learn(estimate, slack);
        let tightest = self.tightest.unwrap_or_default();
        let limit = Span(tightest.0 * LIMIT_PERCENT / 100).max(LEAST_LIMIT);
        Outlook { wait: load.wait(self.usual), limit }
    }

    fn learn(&mut self, estimate: Span, slack: Span) {
        self.tightest = match self.tightest {
            // The job is late already, as those are that are handed in again.
            old if slack == Span::ZERO => old,
            Some(old) if old < slack => Some(Span(old.0 + (slack.0 - old.0) / MEMORY)),
            _ => Some(slack),
        };
        self.usual = match self.usual {
            Span::ZERO => estimate,
            old => Span((old.0 * (MEMORY - 1) + estimate.0) / MEMORY),
        };
    }
}
