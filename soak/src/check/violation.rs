//! Promises that were not kept.

use derive_more::Display;
use std::time::Duration;

/// A promise that was not kept.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Violation {
    /// A task ran at two executors at a time.
    #[display("a task ran twice at a time: {runs}")]
    Twice {
        /// The runs.
        runs: String,
    },
    /// A job that was refused each time has run.
    #[display("job {job} was refused as not run, and {starts} tasks were started")]
    UntrueRefusal {
        /// The job.
        job: String,
        /// Starts of its tasks.
        starts: u64,
    },
    /// A job was said to be completed, and a task has not ended well.
    #[display("job {job} was answered as completed, and task {task} has not ended")]
    Partial {
        /// The job.
        job: String,
        /// The first such task.
        task: u16,
    },
    /// An answer that is none of those that callers know.
    #[display("job {job} was answered with status {status}")]
    Odd {
        /// The job.
        job: String,
        /// The status.
        status: u16,
    },
    /// A request was cut off although only planned work went on.
    #[display("job {job} was cut off {} ms after entry {entry} was told to stop", after.as_millis())]
    Cut {
        /// The job.
        job: String,
        /// The entry.
        entry: usize,
        /// Time since it was told.
        after: Duration,
    },
    /// A request got no answer in time although nothing was disturbed.
    #[display("job {job} got no answer of entry {entry} in time")]
    Unanswered {
        /// The job.
        job: String,
        /// The entry.
        entry: usize,
    },
    /// A task was started at an executor that leaves.
    #[display("{run} was started {} ms after executor {executor} began to leave", after.as_millis())]
    Leaving {
        /// The run.
        run: String,
        /// The executor.
        executor: String,
        /// Time since the store had it.
        after: Duration,
    },
    /// An entry had an older configuration than in time.
    #[display("entry {entry} had configuration {seen} {} ms after {known} was written", after.as_millis())]
    Late {
        /// The entry.
        entry: usize,
        /// What it had.
        seen: u64,
        /// What it had to have.
        known: u64,
        /// Time since then.
        after: Duration,
    },
    /// A process went back to an older configuration.
    #[display("entry {entry} went back from configuration {from} to {to}")]
    Back {
        /// The entry.
        entry: usize,
        /// What it had.
        from: u64,
        /// What it had later.
        to: u64,
    },
    /// A run went on although nobody waited for its job.
    #[display("{run} ran {} ms after the last caller of its job had gone", span.as_millis())]
    Unwanted {
        /// The run.
        run: String,
        /// For how long nobody had waited.
        span: Duration,
    },
    /// A run is still there after everything has come to rest.
    #[display("{run} is still there")]
    LeftOver {
        /// The run.
        run: String,
    },
    /// Too little is served after the faults.
    #[display("of {asked} jobs after the faults, {served} were completed")]
    NoRecovery {
        /// Jobs that came then.
        asked: usize,
        /// Those that were completed.
        served: usize,
    },
}

impl Violation {
    /// Whether the promise says by when something has to be so. Such a one can be judged only where
    /// the play's own processes get the processor when they need it.
    pub fn is_timed(&self) -> bool {
        match self {
            Violation::Twice { .. }
            | Violation::UntrueRefusal { .. }
            | Violation::Partial { .. }
            | Violation::Odd { .. }
            | Violation::Back { .. }
            | Violation::LeftOver { .. } => false,
            Violation::Cut { .. }
            | Violation::Unanswered { .. }
            | Violation::Leaving { .. }
            | Violation::Late { .. }
            | Violation::Unwanted { .. }
            | Violation::NoRecovery { .. } => true,
        }
    }
}
