//! Checks that the answers to jobs are complete, true and in time.

use super::{CONTACT_TIMEOUT, Evidence, Violation};
use crate::{
    document::MAX_ATTEMPTS,
    history::{self, Attempt, Job, Outcome, Stop},
};
use std::time::{Duration, Instant};

/// Requests sent later than this after a planned stop began may be cut off: callers had time to
/// notice the stop.
const STOP_NOTICE_TIME: Duration = Duration::from_secs(3);

/// A planned stop may cut off requests that are still open this long after it began.
const STOP_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// A job fails when this many executors have crashed under one of its tasks.
const MAX_CRASHES: usize = 2;

/// After recovery from the faults, at least one job in this many must be completed.
const RECOVERY_ONE_IN: usize = 4;

/// Least number of jobs after recovery for which this is checked.
const MIN_RECOVERY_JOBS: usize = 10;

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let jobs = evidence.record.jobs.iter();
    let mut violations: Vec<Violation> = jobs
        .flat_map(|(name, job)| {
            let one = [
                refusal(evidence, name, job),
                completion(evidence, name, job),
                failure(evidence, name, job),
            ];
            let attempts = job.attempts.iter().enumerate();
            let attempts = attempts.map(|(index, at)| attempt(evidence, name, index, at));
            one.into_iter().chain(attempts).flatten().collect::<Vec<_>>()
        })
        .collect();
    violations.extend(recovery(evidence));
    violations
}

/// Checks that a job has not run if each attempt was refused or never sent.
fn refusal(evidence: &Evidence<'_>, name: &str, job: &Job) -> Option<Violation> {
    let ends = || job.attempts.iter().filter_map(|attempt| attempt.end.map(|(_, outcome)| outcome));
    let refused = ends().any(|outcome| matches!(outcome, Outcome::Refused { .. }))
        && ends().all(|outcome| matches!(outcome, Outcome::Refused { .. } | Outcome::Unsent));
    let starts = evidence.monitor.starts(name);
    (refused && starts > 0).then(|| Violation::FalseRefusal { job: name.to_owned(), starts })
}

/// Checks that all tasks of a job that was answered as completed have succeeded.
fn completion(evidence: &Evidence<'_>, name: &str, job: &Job) -> Option<Violation> {
    let completed = |attempt: &Attempt| matches!(attempt.end, Some((_, Outcome::Completed)));
    if !job.attempts.iter().any(completed) {
        return None;
    }
    let task = (0..job.tasks).find(|index| !evidence.monitor.is_done(name, *index))?;
    Some(Violation::FalseCompletion { job: name.to_owned(), task })
}

/// Checks that a task of a job that was answered as failed has failed too often, or that executors
/// have crashed under it. Runs of all attempts to submit the job count.
fn failure(evidence: &Evidence<'_>, name: &str, job: &Job) -> Option<Violation> {
    let failed = |attempt: &Attempt| matches!(attempt.end, Some((_, Outcome::Failed)));
    if !job.attempts.iter().any(failed) {
        return None;
    }
    let monitor = evidence.monitor;
    let failures = (0..job.tasks).map(|index| monitor.failed_ends(name, index)).max()?;
    let crashes = (0..job.tasks).map(|index| monitor.crashes(name, index)).max()?;
    let has_cause = failures >= MAX_ATTEMPTS || crashes >= MAX_CRASHES;
    (!has_cause).then(|| Violation::FalseFailure { job: name.to_owned(), failures, crashes })
}

fn attempt(
    evidence: &Evidence<'_>,
    name: &str,
    index: usize,
    attempt: &Attempt,
) -> Option<Violation> {
    let (at, outcome) = attempt.end?;
    let (entry, job) = (attempt.entry, name.to_owned());
    match outcome {
        Outcome::Refused { has_retry_after: false } => Some(Violation::NoRetryAfter { job, entry }),
        Outcome::Unexpected(status) => Some(Violation::UnexpectedStatus { job, status }),
        Outcome::Disconnected
            if evidence.record.is_undisturbed(attempt.sent, at, CONTACT_TIMEOUT) =>
        {
            let stop = stop(evidence, attempt, at)?;
            // An entry that closes an idle connection can't know of a request in transit.
            if !evidence.read[entry].contains(&history::request(name, index)) {
                return None;
            }
            let after = at.saturating_duration_since(stop.at);
            Some(Violation::Cut { job, entry, after })
        }
        Outcome::TimedOut if evidence.record.is_undisturbed(attempt.sent, at, CONTACT_TIMEOUT) => {
            Some(Violation::Unanswered { job, entry })
        }
        _ => None,
    }
}

/// Returns the planned stop during which an attempt was cut off, if the stop should not have
/// affected it.
fn stop<'a>(evidence: &'a Evidence<'_>, attempt: &Attempt, at: Instant) -> Option<&'a Stop> {
    evidence.record.stops.iter().find(|stop| {
        stop.entry == attempt.entry
            && stop.gone.is_none_or(|gone| attempt.sent <= gone)
            && attempt.sent < stop.at + STOP_NOTICE_TIME
            && at >= stop.at
            && at < stop.at + STOP_GRACE_PERIOD
    })
}

/// Checks that jobs are completed again after the faults.
fn recovery(evidence: &Evidence<'_>) -> Option<Violation> {
    let is_after_recovery = |job: &&Job| {
        job.attempts.first().is_some_and(|attempt| attempt.sent >= evidence.recovered_at)
    };
    let jobs: Vec<&Job> = evidence.record.jobs.values().filter(is_after_recovery).collect();
    let completed =
        |job: &&&Job| job.attempts.iter().any(|at| matches!(at.end, Some((_, Outcome::Completed))));
    let (asked, served) = (jobs.len(), jobs.iter().filter(completed).count());
    (asked >= MIN_RECOVERY_JOBS && served * RECOVERY_ONE_IN < asked)
        .then_some(Violation::NoRecovery { asked, served })
}
