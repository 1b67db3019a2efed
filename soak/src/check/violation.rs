//! Violations of guarantees.

use derive_more::Display;
use std::time::Duration;

/// A guarantee that was violated.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Violation {
    /// A task ran at two executors at the same time.
    #[display("a task ran at two executors at the same time: {runs}")]
    Twice {
        /// The concurrent runs.
        runs: String,
    },
    /// A job has run although each of its attempts was refused.
    #[display("job {job} was refused as not run, and {starts} tasks were started")]
    FalseRefusal {
        /// Name of the job.
        job: String,
        /// Number of starts of its tasks.
        starts: u64,
    },
    /// A job was answered as completed although a task has not succeeded.
    #[display("job {job} was answered as completed, and task {task} has not ended")]
    FalseCompletion {
        /// Name of the job.
        job: String,
        /// Index of the first such task.
        task: u16,
    },
    /// A job was answered as failed without a cause.
    #[display(
        "job {job} was answered as failed, and no task failed more than {failures} times or was lost in more than {crashes} crashes"
    )]
    FalseFailure {
        /// Name of the job.
        job: String,
        /// Most runs of one task that failed.
        failures: usize,
        /// Most executors that crashed under one task.
        crashes: usize,
    },
    /// An answer has a status that callers don't expect.
    #[display("job {job} was answered with status {status}")]
    UnexpectedStatus {
        /// Name of the job.
        job: String,
        /// Its HTTP status.
        status: u16,
    },
    /// A refusal does not say when to come back.
    #[display("job {job} was refused by entry {entry} without Retry-After")]
    NoRetryAfter {
        /// Name of the job.
        job: String,
        /// Index of the entry.
        entry: usize,
    },
    /// A request was cut off although there were only planned faults.
    #[display("job {job} was cut off {} ms after entry {entry} got SIGTERM", after.as_millis())]
    Cut {
        /// Name of the job.
        job: String,
        /// Index of the entry.
        entry: usize,
        /// Time since SIGTERM was sent.
        after: Duration,
    },
    /// A request got no answer in time although there was no unplanned fault.
    #[display("job {job} got no answer from entry {entry} in time")]
    Unanswered {
        /// Name of the job.
        job: String,
        /// Index of the entry.
        entry: usize,
    },
    /// A task was started at an executor that is marked as leaving.
    #[display("{run} was started {} ms after executor {executor} began to leave", after.as_millis())]
    Leaving {
        /// Name of the run.
        run: String,
        /// Name of the executor.
        executor: String,
        /// Time since the store held the mark.
        after: Duration,
    },
    /// An entry did not apply a configuration in time.
    #[display("entry {entry} had configuration {seen} {} ms after {known} was written", after.as_millis())]
    LateConfiguration {
        /// Index of the entry.
        entry: usize,
        /// Version that it had.
        seen: u64,
        /// Version that it had to have.
        known: u64,
        /// Time since that version was written.
        after: Duration,
    },
    /// A process returned to an older configuration.
    #[display("entry {entry} went back from configuration {from} to {to}")]
    ConfigurationRollback {
        /// Index of the entry.
        entry: usize,
        /// Version that it had.
        from: u64,
        /// Older version that it had later.
        to: u64,
    },
    /// A run continued although no caller waited for its job.
    #[display("{run} ran {} ms after the last caller of its job had gone", span.as_millis())]
    Unwanted {
        /// Name of the run.
        run: String,
        /// Time since the last caller had left.
        span: Duration,
    },
    /// A run still exists after all jobs had time to end.
    #[display("{run} is still there")]
    LeftOver {
        /// Name of the run.
        run: String,
    },
    /// Too few jobs are completed after the faults.
    #[display("of {asked} jobs after the faults, {served} were completed")]
    NoRecovery {
        /// Number of jobs submitted after recovery.
        asked: usize,
        /// Number of them that were completed.
        served: usize,
    },
}

impl Violation {
    /// Returns whether the guarantee has a time bound. Such a violation is only meaningful where
    /// the processes of the play get processor time without delay.
    pub fn is_timed(&self) -> bool {
        match self {
            Violation::Twice { .. }
            | Violation::FalseRefusal { .. }
            | Violation::FalseCompletion { .. }
            | Violation::FalseFailure { .. }
            | Violation::UnexpectedStatus { .. }
            | Violation::NoRetryAfter { .. }
            | Violation::ConfigurationRollback { .. }
            | Violation::LeftOver { .. } => false,
            Violation::Cut { .. }
            | Violation::Unanswered { .. }
            | Violation::Leaving { .. }
            | Violation::LateConfiguration { .. }
            | Violation::Unwanted { .. }
            | Violation::NoRecovery { .. } => true,
        }
    }
}
