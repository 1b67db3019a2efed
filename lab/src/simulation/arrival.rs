//! Jobs as they arrive, and their results for their callers.

use runs::Job;
use site::unit::{Span, Time};

/// A job with the time of its arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time from the beginning of the arrivals until its caller sends it.
    pub at: Span,
    /// Index of the caller's data centre.
    pub data_centre: usize,
    /// Number of the caller in its data centre; selects the entry there that gets the job.
    pub caller: usize,
    /// Index of its kind in the pattern.
    pub kind: usize,
    /// The job, with times relative to its submission.
    pub job: Job,
    /// Run time of each of its tasks on an executor without faults.
    pub lengths: Vec<Span>,
    /// Time after which its answer is late.
    pub objective: Span,
    /// Whether it arrives during a burst of any kind.
    pub in_burst: bool,
}

impl Arrival {
    /// Returns the work of all its tasks, in thousandths of a core times microseconds.
    pub fn work(&self) -> u64 {
        let length: u64 = self.lengths.iter().map(|length| length.0).sum();
        length * u64::from(self.job.needs.cores.0)
    }
}

/// Result of a job for its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// Completed within its objective.
    InTime,
    /// Completed within three times its objective.
    Late,
    /// Completed after that.
    TooLate,
    /// Refused; nothing of it has run.
    Refused,
    /// Begun and given up.
    GivenUp,
    /// A task failed as often as allowed.
    Failed,
    /// Not answered.
    Open,
}

/// Result of one arrival.
#[derive(Clone, Debug)]
pub struct Record {
    /// Index of the arrival.
    pub arrival: usize,
    /// Result of the job.
    pub outcome: Outcome,
    /// Time from its submission to its answer.
    pub after: Span,
    /// Whether it was refused while executors had room for all its tasks.
    pub had_room: bool,
    /// How often it was refused and submitted again.
    pub retries: u32,
}

/// Multiple of its objective after which an answer has no use.
const LATE_FACTOR: u64 = 3;

impl Outcome {
    /// Returns the outcome of a job that completed `after` its submission.
    pub fn completed(after: Span, objective: Span) -> Self {
        match after {
            after if after <= objective => Outcome::InTime,
            after if after.0 <= objective.0 * LATE_FACTOR => Outcome::Late,
            _ => Outcome::TooLate,
        }
    }
}

/// Returns the job with its times relative to `now` made absolute.
pub(super) fn job_at(job: &Job, now: Time) -> Job {
    Job { due: Time(now.0 + job.due.0), give_up: Time(now.0 + job.give_up.0), ..job.clone() }
}
