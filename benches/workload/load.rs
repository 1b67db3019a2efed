//! The jobs of a run, generated before it starts so that every policy gets the same jobs.

use crate::{
    case::{Case, Fault},
    workload::model::{ENDPOINTS, ENTRIES, Model, SLOTS},
};
use bytes::Bytes;
use rand::{
    Rng, SeedableRng,
    distr::{Distribution, weighted::WeightedIndex},
};
use rand_chacha::ChaCha8Rng;
use site::{
    id::{CrewId, SubmissionId, Token},
    service::Place,
    submission::{self, Kind, Submission},
    unit::{Cores, Memory, Resources, Span, Time},
};
use uuid::Uuid;

/// Deadline of each job.
pub(crate) const JOB_DEADLINE: Span = Span::from_secs(30);
/// Fraction of the jobs that are single requests.
const SINGLE_REQUEST_FRACTION: f64 = 0.4;
/// Minimum and maximum number of tasks of the other jobs, distributed log-uniformly.
const JOB_TASKS: (f64, f64) = (5.0, 780.0);
/// Range of the run times of most tasks, in microseconds, distributed log-uniformly;
/// [`LONG_RUN_MICROS`] is the range for a fraction [`LONG_TASK_FRACTION`] of the tasks.
const SHORT_RUN_MICROS: (f64, f64) = (50_000.0, 1_000_000.0);
const LONG_RUN_MICROS: (f64, f64) = (2_000_000.0, 5_000_000.0);
const LONG_TASK_FRACTION: f64 = 0.03;
/// Mean run time of all tasks.
pub(crate) const MEAN_RUN_TIME: Span = Span(412_600);
/// Minimum and maximum fraction of a worker's cores, and of its memory, that a task uses.
const WORKER_FRACTION: (f64, f64) = (1.0 / 64.0, 1.0 / 8.0);
/// Ratio of the first firm's job rate to the rate that its weight covers, in the fairness case.
const EXCESS_LOAD_FACTOR: f64 = 10.0;

/// The actual needs of a task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) run_time: Span,
    pub(crate) uses: Resources,
    /// Factor by which the caller misdeclares the needs. With `None`, no run time is declared.
    declaration_factor: Option<f64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) at: Time,
    pub(crate) entry: usize,
    pub(crate) firm: usize,
    pub(crate) tasks: Vec<Task>,
}

impl Job {
    pub(crate) fn submission(&self, number: usize, token: Token) -> Submission {
        let single = self.tasks.len() == 1;
        Submission {
            id: SubmissionId { token, unique: Uuid::from_u64_pair(0, number as u64) },
            kind: if single { Kind::Single } else { Kind::Job },
            firm: Model::firm(self.firm),
            crew: CrewId::default(),
            service: Model::service(),
            repeatable: single,
            deadline: JOB_DEADLINE,
            tasks: self.tasks.iter().enumerate().map(|(i, task)| task.declare(i)).collect(),
        }
    }
}

impl Task {
    /// Returns the task as its caller declares it. The driver chooses the body.
    fn declare(&self, index: usize) -> submission::Task {
        let factor = self.declaration_factor.unwrap_or(1.0);
        let needs = Resources {
            cores: Cores((f64::from(self.uses.cores.0) * factor) as u32),
            memory: Memory((self.uses.memory.0 as f64 * factor) as u64),
            ..Resources::default()
        };
        let run_time = self
            .declaration_factor
            .map(|declaration_factor| Span((self.run_time.0 as f64 * declaration_factor) as u64));
        submission::Task {
            body: Bytes::copy_from_slice(&index.to_le_bytes()),
            content_type: "".into(),
            needs,
            run_time: run_time.unwrap_or(Span::ZERO),
        }
    }
}

/// Returns the number of tasks that all endpoints can run concurrently.
pub(crate) fn capacity(place: Place) -> u32 {
    let each = match place {
        Place::Executors => SLOTS,
        Place::Workers => (1.0 / log_uniform_mean(WORKER_FRACTION)) as u32,
    };
    ENDPOINTS as u32 * each
}

/// Generates jobs with random arrival times.
pub(crate) fn jobs(case: &Case) -> Vec<Job> {
    let mut random = ChaCha8Rng::seed_from_u64(case.seed);
    let mut rates: Vec<_> = case.model.weights.iter().map(|weight| f64::from(*weight)).collect();
    let weights: f64 = rates.iter().sum();
    if case.faults.contains(&Fault::Fair) {
        rates[0] *= EXCESS_LOAD_FACTOR;
    }
    let load = f64::from(case.load) / 100.0 * rates.iter().sum::<f64>() / weights;
    let mean_tasks =
        SINGLE_REQUEST_FRACTION + (1.0 - SINGLE_REQUEST_FRACTION) * log_uniform_mean(JOB_TASKS);
    let slots = f64::from(capacity(case.model.place));
    let rate = load * slots / (MEAN_RUN_TIME.0 as f64 * mean_tasks);
    let firms = WeightedIndex::new(&rates).expect("some firm sends");
    let mut jobs = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / (rate * case.arrival_factor(Time(at as u64)));
        if at as u64 >= case.length.0 {
            return jobs;
        }
        let tasks = match random.random_bool(SINGLE_REQUEST_FRACTION) {
            true => 1,
            false => log_uniform(&mut random, JOB_TASKS) as usize,
        };
        jobs.push(Job {
            at: Time(at as u64),
            entry: random.random_range(0..ENTRIES),
            firm: firms.sample(&mut random),
            tasks: (0..tasks).map(|_| task(case, &mut random)).collect(),
        });
    }
}

fn task(case: &Case, random: &mut impl Rng) -> Task {
    let run_time = match random.random_bool(LONG_TASK_FRACTION) {
        true => random.random_range(LONG_RUN_MICROS.0..LONG_RUN_MICROS.1),
        false => log_uniform(random, SHORT_RUN_MICROS),
    };
    let worker = case.model.worker;
    let uses = match case.model.place {
        Place::Executors => Resources::default(),
        Place::Workers => Resources {
            cores: Cores((f64::from(worker.cores.0) * log_uniform(random, WORKER_FRACTION)) as u32),
            memory: Memory((worker.memory.0 as f64 * log_uniform(random, WORKER_FRACTION)) as u64),
            ..Resources::default()
        },
    };
    let over = random.random_bool(0.5);
    let declaration_factor =
        case.faults.contains(&Fault::Hints).then_some(if over { 10.0 } else { 0.1 });
    Task { run_time: Span(run_time as u64), uses, declaration_factor }
}

/// Returns a random value, distributed log-uniformly over a range.
fn log_uniform(random: &mut impl Rng, (low, high): (f64, f64)) -> f64 {
    let exponent: f64 = random.random_range(0.0..1.0);
    low * (high / low).powf(exponent)
}

/// Returns the mean of [`log_uniform`].
fn log_uniform_mean((low, high): (f64, f64)) -> f64 {
    (high - low) / (high / low).ln()
}
