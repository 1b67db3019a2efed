//! Jobs as they arrive, and what became of them.

use runs::Job;
use site::unit::{Span, Time};

/// A job that arrives at a moment.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its caller sends it, since the first second of the day.
    pub at: Span,
    /// The caller's data centre.
    pub zone: usize,
    /// Which of the caller's data centre's entries gets it.
    pub client: usize,
    /// Its kind, as the pattern counts them.
    pub kind: usize,
    /// The job; its times count from 0.
    pub job: Job,
    /// How long each of its tasks runs on a sound executor.
    pub lengths: Vec<Span>,
    /// Its answer is late after that time.
    pub objective: Span,
}

impl Arrival {
    /// What it takes of executors, in thousandths of a core times microseconds.
    pub fn work(&self) -> u64 {
        let length: u64 = self.lengths.iter().map(|length| length.0).sum();
        length * u64::from(self.job.needs.cores.0)
    }
}

/// What became of a job, as its caller sees it.
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
    /// It ran and was given up.
    GivenUp,
    /// A task failed as often as it may.
    Failed,
    /// There is no answer.
    Open,
}

/// One job of a day.
#[derive(Clone, Debug)]
pub struct Record {
    /// The job's place among the arrivals.
    pub arrival: usize,
    /// What became of it.
    pub outcome: Outcome,
    /// Time from its sending to its answer.
    pub after: Span,
    /// It was refused while executors had room for all of it.
    pub had_room: bool,
}

/// How many times its objective an answer may take before it is of no use.
const LATE_FACTOR: u64 = 3;

impl Outcome {
    /// That of a job that completed `after` its sending.
    pub fn completed(after: Span, objective: Span) -> Self {
        match after {
            after if after <= objective => Outcome::InTime,
            after if after.0 <= objective.0 * LATE_FACTOR => Outcome::Late,
            _ => Outcome::TooLate,
        }
    }
}

/// The same job, with its times counted from a moment.
pub(super) fn job_at(job: &Job, now: Time) -> Job {
    Job { due: Time(now.0 + job.due.0), give_up: Time(now.0 + job.give_up.0), ..job.clone() }
}
