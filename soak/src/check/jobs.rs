//! Jobs: answers are whole, true and in time.

use super::{CONTACT, Evidence, Violation};
use crate::history::{self, Attempt, Job, Outcome, Stop};
use std::time::{Duration, Instant};

/// Requests that are sent later than this after a planned stop began may be cut: callers had the
/// time to learn of it.
const STOP_KNOWN: Duration = Duration::from_secs(3);

/// A planned stop may cut what is open at its very end.
const STOP_GRACE: Duration = Duration::from_secs(5);

/// After the faults have healed, at least one job in this many is served.
const RECOVERED: usize = 4;

/// Jobs after the faults from which that is told.
const RECOVERY_SAMPLE: usize = 10;

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let jobs = evidence.record.jobs.iter();
    let mut violations: Vec<Violation> = jobs
        .flat_map(|(name, job)| {
            let one = [refusal(evidence, name, job), completion(evidence, name, job)];
            let attempts = job.attempts.iter().enumerate();
            let attempts = attempts.map(|(index, at)| attempt(evidence, name, index, at));
            one.into_iter().chain(attempts).flatten().collect::<Vec<_>>()
        })
        .collect();
    violations.extend(recovery(evidence));
    violations
}

/// A job whose attempts were all refused, or never sent, has not run.
fn refusal(evidence: &Evidence<'_>, name: &str, job: &Job) -> Option<Violation> {
    let ends = || job.attempts.iter().filter_map(|attempt| attempt.end.map(|(_, how)| how));
    let refused = ends().any(|how| how == Outcome::Refused)
        && ends().all(|how| matches!(how, Outcome::Refused | Outcome::Unsent));
    let starts = evidence.monitor.starts(name);
    (refused && starts > 0).then(|| Violation::UntrueRefusal { job: name.to_owned(), starts })
}

/// All tasks of a job that was answered as completed have ended well.
fn completion(evidence: &Evidence<'_>, name: &str, job: &Job) -> Option<Violation> {
    let completed = |attempt: &Attempt| matches!(attempt.end, Some((_, Outcome::Completed)));
    if !job.attempts.iter().any(completed) {
        return None;
    }
    let task = (0..job.tasks).find(|index| !evidence.monitor.is_done(name, *index))?;
    Some(Violation::Partial { job: name.to_owned(), task })
}

fn attempt(
    evidence: &Evidence<'_>,
    name: &str,
    index: usize,
    attempt: &Attempt,
) -> Option<Violation> {
    let (at, how) = attempt.end?;
    let (entry, job) = (attempt.entry, name.to_owned());
    match how {
        Outcome::Odd(status) => Some(Violation::Odd { job, status }),
        Outcome::Broken if evidence.record.is_calm(attempt.sent, at, CONTACT) => {
            let stop = stop(evidence, attempt, at)?;
            // An entry that closes an idle connection can't know of a request on its way.
            if !evidence.read[entry].contains(&history::request(name, index)) {
                return None;
            }
            let after = at.saturating_duration_since(stop.at);
            Some(Violation::Cut { job, entry, after })
        }
        Outcome::TimedOut if evidence.record.is_calm(attempt.sent, at, CONTACT) => {
            Some(Violation::Unanswered { job, entry })
        }
        _ => None,
    }
}

/// The planned stop during which an attempt was cut off, if the stop had to leave it alone.
fn stop<'a>(evidence: &'a Evidence<'_>, attempt: &Attempt, at: Instant) -> Option<&'a Stop> {
    evidence.record.stops.iter().find(|stop| {
        stop.entry == attempt.entry
            && stop.gone.is_none_or(|gone| attempt.sent <= gone)
            && attempt.sent < stop.at + STOP_KNOWN
            && at >= stop.at
            && at < stop.at + STOP_GRACE
    })
}

/// Jobs are served again after the faults.
fn recovery(evidence: &Evidence<'_>) -> Option<Violation> {
    let came_after =
        |job: &&Job| job.attempts.first().is_some_and(|attempt| attempt.sent >= evidence.healed);
    let jobs: Vec<&Job> = evidence.record.jobs.values().filter(came_after).collect();
    let completed =
        |job: &&&Job| job.attempts.iter().any(|at| matches!(at.end, Some((_, Outcome::Completed))));
    let (asked, served) = (jobs.len(), jobs.iter().filter(completed).count());
    (asked >= RECOVERY_SAMPLE && served * RECOVERED < asked)
        .then_some(Violation::NoRecovery { asked, served })
}
