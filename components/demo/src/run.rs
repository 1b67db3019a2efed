//! A run: a job, the same job resubmitted, and a job with a deadline that can't be met.

use crate::{Deployment, Error, makespan, settings::SERVICE};
use client::{
    Client, Job,
    job::{Complete, Task},
};
use serde::Serialize;
use serde_json::{json, value::to_raw_value};
use site::{id::SubmissionId, submission::Outcome, unit::Span};
use smol::{Timer, future::FutureExt};
use standin::ledger::Step;
use std::time::{Duration, Instant};

/// Interval of progress reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum run time of a task, in milliseconds.
const MIN_RUN_TIME_MS: u64 = 50;

/// Size of the range over which run times are spread evenly, in milliseconds.
const RUN_TIME_RANGE_MS: u64 = 250;

/// Multiplier of Fibonacci hashing, the 64-bit golden ratio; spreads consecutive numbers.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Deadline of the job that can't finish in time.
const INFEASIBLE_DEADLINE: Span = Span::from_millis(200);

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Identifier of the job.
    pub id: String,
    /// Number of tasks in the job.
    pub tasks: usize,
    /// Number of outputs that belong to the task at their position.
    pub matching: usize,
    /// Total slots of all executors.
    pub slots: usize,
    /// Time from the submission to the complete answer, in milliseconds.
    pub response_ms: f64,
    /// Response time with a single queue for all slots and no latency, in milliseconds.
    pub ideal_ms: f64,
    /// Number of task starts; equals `tasks` if each started once.
    pub started: usize,
    /// Number of tasks that started more than once.
    pub started_twice: usize,
    /// Number of attempts that executors refused as busy.
    pub refused_attempts: usize,
    /// Number of tasks that started when the job was resubmitted; must be 0.
    pub started_by_resubmission: usize,
    /// Result of the job with the deadline that can't be met.
    pub refusal: Refusal,
}

/// A rejected job.
#[derive(Clone, Debug, Serialize)]
pub struct Refusal {
    /// Error message, or a note that the job was not rejected.
    pub detail: String,
    /// Outcome of the job; `None` if unknown.
    pub outcome: Option<Outcome>,
    /// Number of its tasks that started; must be 0.
    pub started: usize,
}

/// Runs a job of `tasks` tasks in `deployment`, and reports the number of ended tasks to
/// `progress`.
///
/// # Errors
///
/// When the job has no complete answer.
pub async fn run(
    deployment: &Deployment,
    tasks: usize,
    mut progress: impl FnMut(usize),
) -> Result<Summary, Error> {
    let client = deployment.client()?;
    let run_times: Vec<_> = (0..tasks as u64).map(run_time).collect();
    let mut job = job(&run_times);
    let begun = Instant::now();
    let answered = client.job(&job);
    let answer = answered.or(watch(deployment, &mut progress)).await?;
    let response = begun.elapsed();
    let ledger = deployment.ledger();
    let started = ledger.count(Step::Start);
    job.id = answer.id.parse::<SubmissionId>().ok();
    client.job(&job).await?;
    let started_again = ledger.count(Step::Start) - started;
    let refusal = submit_infeasible(deployment, &client, &run_times).await;
    Ok(Summary {
        id: answer.id.to_string(),
        tasks,
        matching: matching(&answer),
        slots: deployment.slots(),
        response_ms: milliseconds(response),
        ideal_ms: milliseconds(makespan(&run_times, deployment.slots())),
        started,
        started_twice: ledger.repeated().len(),
        refused_attempts: ledger.count(Step::Refusal),
        started_by_resubmission: started_again,
        refusal,
    })
}

/// Reports progress until it is dropped.
async fn watch<T>(deployment: &Deployment, progress: &mut impl FnMut(usize)) -> T {
    loop {
        progress(deployment.ledger().count(Step::End));
        Timer::after(REPORT_INTERVAL).await;
    }
}

/// Submits a job that can't finish in time and must be rejected.
async fn submit_infeasible(
    deployment: &Deployment,
    client: &Client,
    run_times: &[Duration],
) -> Refusal {
    let before = deployment.ledger().count(Step::Start);
    let job = Job { deadline: Some(INFEASIBLE_DEADLINE), ..job(run_times) };
    let error = client.job(&job).await.err();
    Refusal {
        detail: error.as_ref().map_or_else(|| "not refused".to_owned(), ToString::to_string),
        outcome: error.and_then(|error| error.outcome()),
        started: deployment.ledger().count(Step::Start) - before,
    }
}

fn job(run_times: &[Duration]) -> Job {
    let task = |(index, time): (usize, &Duration)| Task {
        body: to_raw_value(&json!({ "ms": time.as_millis() as u64, "echo": index }))
            .expect("numbers are always JSON"),
        content_type: None,
        encoding: None,
        needs: None,
        run_time: None,
    };
    Job {
        service: SERVICE.into(),
        crew: None,
        id: None,
        repeatable: None,
        deadline: None,
        tasks: run_times.iter().enumerate().map(task).collect(),
    }
}

/// Returns a pseudo-random run time that is the same in each run.
fn run_time(index: u64) -> Duration {
    let spread = (index.wrapping_mul(HASH_MULTIPLIER) >> 32) % RUN_TIME_RANGE_MS;
    Duration::from_millis(MIN_RUN_TIME_MS + spread)
}

/// Counts the outputs that belong to the task at their position.
fn matching(answer: &Complete) -> usize {
    let outputs = answer.outputs.iter().enumerate();
    outputs.filter(|(index, output)| output.body["echo"] == *index).count()
}

fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e4).round() / 10.0
}
