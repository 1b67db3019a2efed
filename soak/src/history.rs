//! Records what callers, executors and operators observe during a play.

use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How one attempt to submit a job ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer says that all tasks completed.
    Completed,
    /// The answer says that a task failed too often.
    Failed,
    /// The answer says that nothing of the job has run.
    Refused {
        /// Whether it says when to come back.
        has_retry_after: bool,
    },
    /// The answer says that the job was given up because it can't end in time.
    GivenUp,
    /// An answer with another status, which is given.
    Unexpected(u16),
    /// The connection ended before the answer.
    Disconnected,
    /// No answer came in time.
    TimedOut,
    /// The request could not be sent.
    Unsent,
    /// The caller closed the connection before the answer.
    Left,
}

/// One attempt to submit a job to an entry.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Index of the entry that got the request.
    pub entry: usize,
    /// When the request was sent.
    pub sent: Instant,
    /// When and how it ended; `None` while it is open.
    pub end: Option<(Instant, Outcome)>,
}

/// One job of a caller.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Number of tasks.
    pub tasks: u16,
    /// Attempts to submit the job, in order.
    pub attempts: Vec<Attempt>,
}

/// A version of the configuration that was observed at an entry.
#[derive(Clone, Copy, Debug)]
pub struct ConfigObservation {
    /// Index of the entry.
    pub entry: usize,
    /// Number of its process.
    pub boot: u32,
    /// When the request for it was sent.
    pub asked: Instant,
    /// Version that was in force.
    pub version: u64,
}

/// An executor that was marked as leaving.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Name of the executor's incarnation.
    pub executor: String,
    /// When the store held the mark.
    pub at: Instant,
}

/// A planned stop of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Index of the entry.
    pub entry: usize,
    /// When SIGTERM was sent.
    pub at: Instant,
    /// When its process had ended; `None` while it runs.
    pub gone: Option<Instant>,
}

/// Thread-safe log of what has been observed so far.
#[derive(Debug, Default)]
pub struct History {
    state: Mutex<Record>,
}

/// What was observed during a play.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Jobs by name.
    pub jobs: BTreeMap<String, Job>,
    /// Versions observed at entries, in order.
    pub config_observations: Vec<ConfigObservation>,
    /// Versions written to the store, with the time of the write.
    pub configured: Vec<(Instant, u64)>,
    /// Executors that were marked as leaving.
    pub leaving: Vec<Leaving>,
    /// Planned stops of entries.
    pub stops: Vec<Stop>,
    /// Beginning and end of each unplanned fault.
    pub disturbances: Vec<(Instant, Instant)>,
    /// Runs that continued although no caller waited for their job, with the time since the last
    /// one left.
    pub unwanted: Vec<(String, Duration)>,
}

/// Returns the request id that a caller gives to an attempt to submit a job.
pub fn request(job: &str, attempt: usize) -> String {
    format!("{job}.{attempt}")
}

impl History {
    /// Updates the record.
    pub fn update(&self, change: impl FnOnce(&mut Record)) {
        change(&mut self.state.lock());
    }

    /// Records the beginning of an attempt; returns its position among those of the job.
    pub fn begin(&self, name: &str, tasks: u16, entry: usize) -> usize {
        let mut state = self.state.lock();
        let job = state.jobs.entry(name.to_owned()).or_default();
        job.tasks = tasks;
        job.attempts.push(Attempt { entry, sent: Instant::now(), end: None });
        job.attempts.len() - 1
    }

    /// Records how an attempt ended.
    pub fn end(&self, name: &str, attempt: usize, outcome: Outcome) {
        let mut state = self.state.lock();
        let job = state.jobs.get_mut(name);
        if let Some(attempt) = job.and_then(|job| job.attempts.get_mut(attempt)) {
            attempt.end = Some((Instant::now(), outcome));
        }
    }

    /// Returns for how long no caller has waited for a job; `None` if one does or the job is
    /// unknown.
    pub fn unwanted_for(&self, name: &str) -> Option<Duration> {
        let state = self.state.lock();
        let job = state.jobs.get(name)?;
        let ends: Option<Vec<Instant>> =
            job.attempts.iter().map(|attempt| attempt.end.map(|(at, _)| at)).collect();
        ends?.into_iter().max().map(|at| at.elapsed())
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.state.lock().clone()
    }
}

impl Record {
    /// Returns whether no unplanned fault was active between `before` ahead of `from` and `until`.
    pub fn is_undisturbed(&self, from: Instant, until: Instant, before: Duration) -> bool {
        let from = from.checked_sub(before).unwrap_or(from);
        self.disturbances.iter().all(|(begin, end)| *end < from || *begin > until)
    }
}
