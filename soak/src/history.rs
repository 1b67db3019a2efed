//! What callers, back ends and operators saw of a play.

use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How one attempt at a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All tasks ended well, it says.
    Completed,
    /// A task failed too often, it says.
    Failed,
    /// It has not run, it says.
    Refused,
    /// It began and can't end in time, it says.
    GivenUp,
    /// Another answer.
    Odd(u16),
    /// The connection ended before the answer.
    Broken,
    /// No answer came in time.
    TimedOut,
    /// Nothing was sent.
    Unsent,
    /// The caller left before the answer.
    Left,
}

/// One attempt at a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The entry.
    pub entry: usize,
    /// When its request was sent.
    pub sent: Instant,
    /// When and how it ended; nothing while it is open.
    pub end: Option<(Instant, Outcome)>,
}

/// One job.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Its tasks.
    pub tasks: u16,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

/// The version of the configuration that an entry showed.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// The entry.
    pub entry: usize,
    /// Its process.
    pub boot: u32,
    /// When it was asked.
    pub asked: Instant,
    /// What was in force.
    pub version: u64,
}

/// An executor that was told to be emptied.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// Which.
    pub executor: usize,
    /// When the store had it.
    pub at: Instant,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// The entry.
    pub entry: usize,
    /// When it was told.
    pub at: Instant,
    /// When its process was gone.
    pub gone: Option<Instant>,
}

/// What has been seen so far.
#[derive(Debug, Default)]
pub struct History {
    state: Mutex<Record>,
}

/// What was seen of a play.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Jobs by name.
    pub jobs: BTreeMap<String, Job>,
    /// Versions that entries showed, in order.
    pub seen: Vec<Seen>,
    /// Configurations that the store has, with when it had them.
    pub configured: Vec<(Instant, u64)>,
    /// Executors that leave.
    pub leaving: Vec<Leaving>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// When faults that nobody planned were there.
    pub disturbed: Vec<(Instant, Instant)>,
    /// Runs that went on although nobody waited, with how long nobody had.
    pub unwanted: Vec<(String, Duration)>,
}

/// The caller's id of an attempt at a job.
pub fn request(job: &str, attempt: usize) -> String {
    format!("{job}.{attempt}")
}

impl History {
    /// Notes something.
    pub fn note(&self, note: impl FnOnce(&mut Record)) {
        note(&mut self.state.lock());
    }

    /// Notes an attempt that begins; returns its position among the job's.
    pub fn begin(&self, name: &str, tasks: u16, entry: usize) -> usize {
        let mut state = self.state.lock();
        let job = state.jobs.entry(name.to_owned()).or_default();
        job.tasks = tasks;
        job.attempts.push(Attempt { entry, sent: Instant::now(), end: None });
        job.attempts.len() - 1
    }

    /// Notes how an attempt ended.
    pub fn end(&self, name: &str, attempt: usize, outcome: Outcome) {
        let mut state = self.state.lock();
        let job = state.jobs.get_mut(name);
        if let Some(attempt) = job.and_then(|job| job.attempts.get_mut(attempt)) {
            attempt.end = Some((Instant::now(), outcome));
        }
    }

    /// For how long nobody has waited for a job; `None` if somebody does.
    pub fn unwanted_for(&self, name: &str) -> Option<Duration> {
        let state = self.state.lock();
        let job = state.jobs.get(name)?;
        let ends: Option<Vec<Instant>> =
            job.attempts.iter().map(|attempt| attempt.end.map(|(at, _)| at)).collect();
        ends?.into_iter().max().map(|at| at.elapsed())
    }

    /// All that was seen.
    pub fn record(&self) -> Record {
        self.state.lock().clone()
    }
}

impl Record {
    /// Whether no unplanned fault was there from `before` ahead of a moment until another one.
    pub fn is_calm(&self, from: Instant, until: Instant, before: Duration) -> bool {
        let from = from.checked_sub(before).unwrap_or(from);
        self.disturbed.iter().all(|(begin, end)| *end < from || *begin > until)
    }
}
